import type {ConfigurationEffect, ConfigurationEvent} from '@chervilbeam/coordination';
import type {StoreClient} from './store-client.js';

/** Effects of `ConfigurationView` that are store calls. */
export type ConfigurationStoreEffect = Extract<ConfigurationEffect, {readonly key: string}>;

/** Returns whether an effect is a store call. */
export function isConfigurationStoreEffect(
  effect: ConfigurationEffect,
): effect is ConfigurationStoreEffect {
  return 'key' in effect;
}

/** Executes the store calls of `ConfigurationView` and posts their results as events. */
export class ConfigurationStore {
  constructor(
    private readonly client: StoreClient,
    private readonly post: (event: ConfigurationEvent) => void,
  ) {}

  /** Starts a call; its result is posted later. */
  executeEffect(effect: ConfigurationStoreEffect): void {
    if (effect.kind === 'watch') void this.#watch(effect);
    else void this.#call(effect);
  }

  async #watch(effect: Extract<ConfigurationStoreEffect, {kind: 'watch'}>): Promise<void> {
    const answer = await this.client.watch(effect.key, effect.after, effect.waitMs);
    if (answer.result === 'ok') {
      this.post({kind: 'head', value: answer.value, revision: answer.revision});
    } else {
      this.post({kind: answer.result === 'quiet' ? 'watch-quiet' : 'watch-failed'});
    }
  }

  async #call(effect: Exclude<ConfigurationStoreEffect, {kind: 'watch'}>): Promise<void> {
    const {key, request} = effect;
    const answer =
      effect.kind === 'read-head' || effect.kind === 'read-snapshot'
        ? await this.client.read(key)
        : await this.client.write(key, effect.value, effect.expectedRevision);
    this.post({kind: 'store-result', request, answer});
  }
}
