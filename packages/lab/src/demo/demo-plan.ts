/** A data centre of the demonstration. */
export interface DemoDataCentre {
  readonly name: string;
  readonly region: string;
  readonly entries: number;
  readonly hosts: number;
}

/** A deployment of the design document at small scale. */
export interface DemoPlan {
  readonly deployment: string;
  readonly dataCentres: readonly DemoDataCentre[];
  /** Intent file under `examples/demo`. */
  readonly intent: string;
  /** Service for quick, idempotent lookups. */
  readonly lookup: string;
  /** Service whose requests must run at most once. */
  readonly order: string;
  /** Run time of a task in milliseconds, by the name of its batch job. */
  readonly runTimesMs: Readonly<Record<string, number>>;
}

/** Both deployments of the design document. */
export const demoPlans: readonly DemoPlan[] = [
  {
    deployment: 'kastanjebrent',
    dataCentres: [
      {name: 'vestland-1', region: 'vestland', entries: 2, hosts: 3},
      {name: 'austland-1', region: 'austland', entries: 1, hosts: 1},
    ],
    intent: 'kastanjebrent.json',
    lookup: 'price-check',
    order: 'pallet-shipment',
    runTimesMs: {'print-proofs': 4000},
  },
  {
    deployment: 'le-goff',
    dataCentres: [
      {name: 'finistere-1', region: 'finistere', entries: 2, hosts: 3},
      {name: 'ille-et-vilaine-1', region: 'ille-et-vilaine', entries: 1, hosts: 1},
    ],
    intent: 'le-goff.json',
    lookup: 'holding-lookup',
    order: 'share-transfer',
    runTimesMs: {'dividend-run': 4000},
  },
];
