/**
 * Number of specs that are kept; a spec has a few kilobytes. More than the owner takes an agent to know, so that a start
 * without a spec can nearly always be executed.
 */
const maxSpecs = 256;

/** Specs of the submissions whose tasks were started most recently; the owner sends each of them once. */
export class SpecCache {
  private readonly specs = new Map<string, string>();

  /** Stores the spec of a start or, when the start has none, returns the stored one; undefined when it is unknown. */
  resolve(submission: string, sent: string | undefined): string | undefined {
    const spec = sent ?? this.specs.get(submission);
    if (spec === undefined) return undefined;
    // Inserted again, so that the map stays in the order of use.
    this.specs.delete(submission);
    this.specs.set(submission, spec);
    if (this.specs.size > maxSpecs) {
      const [oldest] = this.specs.keys();
      if (oldest !== undefined) this.specs.delete(oldest);
    }
    return spec;
  }
}
