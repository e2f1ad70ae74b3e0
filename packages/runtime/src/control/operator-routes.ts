import {H3, type H3Event} from 'h3';
import type {OperatorAnswer, OperatorService} from './operator-service.js';

/** Largest body of an operator request. */
export const maxOperatorBodyBytes = 1024 * 1024;

/** Adds the routes of the operator API to the control server of an entry. */
export function addOperatorRoutes(app: H3, service: OperatorService): void {
  const post = (
    path: string,
    answer: (body: unknown) => OperatorAnswer | Promise<OperatorAnswer>,
  ) =>
    app.post(path, async event => {
      const body = await readBody(event);
      if (body === undefined) {
        return toResponse({status: 400, body: {detail: 'the body is not JSON below 1 MiB'}});
      }
      return toResponse(await answer(body));
    });
  post('/v1/plans', body => service.plan(body));
  post('/v1/confirmations', body => service.confirm(body));
  post('/v1/drains', body => service.drain(body));
  post('/v1/losses', body => service.declareLoss(body));
  app.get('/v1/status', () => toResponse(service.getStatus()));
  app.get('/v1/configuration', () => toResponse(service.getConfiguration()));
  app.get('/v1/timeline', event => toResponse(service.getTimeline(event.url.searchParams)));
}

function toResponse({status, body}: OperatorAnswer): Response {
  return Response.json(body, {status});
}

async function readBody(event: H3Event): Promise<unknown> {
  const declared = Number(event.req.headers.get('content-length') ?? 0);
  if (declared > maxOperatorBodyBytes) return undefined;
  const text = await event.req.text();
  if (text.length > maxOperatorBodyBytes) return undefined;
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
