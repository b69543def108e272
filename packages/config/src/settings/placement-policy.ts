/** How a router picks an engine for a request. */
export enum PlacementPolicy {
	RoundRobin = 'round_robin',
	LeastLoad = 'least_load',
	Rendezvous = 'rendezvous',
	BoundedLoad = 'bounded_load',
	Cost = 'cost',
}
