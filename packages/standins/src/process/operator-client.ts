import {fetch} from 'undici';

/** Answer to a confirmation. */
export interface Confirmation {
  readonly outcome: string;
  readonly version?: number;
  readonly changeId?: string;
}

/** Plans an intent at an entry's control port and confirms the plan. */
export async function applyIntent(control: string, intent: object): Promise<Confirmation> {
  const plan = await post(control, '/v1/plans', intent);
  if (plan.status !== 200) throw new Error(`plan: ${plan.status} ${JSON.stringify(plan.body)}`);
  const confirmed = await post(control, '/v1/confirmations', {plan: plan.body});
  if (confirmed.status !== 200) {
    throw new Error(`confirmation: ${confirmed.status} ${JSON.stringify(confirmed.body)}`);
  }
  return confirmed.body as Confirmation;
}

/** Posts JSON to a control port and returns the parsed answer. */
export async function post(
  control: string,
  path: string,
  body: object,
): Promise<{readonly status: number; readonly body: unknown}> {
  const response = await fetch(`http://${control}${path}`, {
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(body),
    signal: AbortSignal.timeout(10_000),
  });
  return {status: response.status, body: await response.json()};
}
