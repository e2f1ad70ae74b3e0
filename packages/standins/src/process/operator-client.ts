import {fetch} from 'undici';

/** Answer of an entry to a confirmation. */
export interface Confirmation {
  readonly outcome: string;
  readonly version?: number;
  readonly changeId?: string;
}

/**
 * Plans an intent at an entry's control port (`ip:port`) and confirms the plan. Throws unless both are answered with
 * 200 within 10 s each.
 */
export async function applyIntent(control: string, intent: object): Promise<Confirmation> {
  const plan = await postJson(control, '/v1/plans', intent);
  if (plan.status !== 200)
    throw new Error(`planning failed with status ${plan.status}: ${JSON.stringify(plan.body)}`);
  const confirmation = await postJson(control, '/v1/confirmations', {plan: plan.body});
  if (confirmation.status !== 200) {
    throw new Error(
      `the confirmation failed with status ${confirmation.status}: ${JSON.stringify(confirmation.body)}`,
    );
  }
  return confirmation.body as Confirmation;
}

/** Posts JSON to a control port and returns the parsed answer. Throws after 10 s without an answer. */
export async function postJson(
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
