/**
 * Weighted deficit round robin over flows whose costs are known only when an item is
 * taken. A flow with a positive deficit may take an item and is charged afterwards.
 * A negative deficit is refilled in later rounds. Over time each active flow receives
 * a share of the total cost in proportion to its weight.
 */

/** Schedule of the flows of one level, such as classes or teams. */
export type DeficitRoundRobin<Key> = {
	/** Adds a flow or changes its weight. */
	activate(key: Key, weight: number): void;
	/** Deactivates a flow without items; a negative deficit is kept until it is refilled. */
	deactivate(key: Key): void;
	/** The flow whose turn it is among those that can be served now. */
	select(canServe: (key: Key) => boolean): Key | undefined;
	/** Charges the cost of the item that was taken. */
	charge(key: Key, cost: number): void;
	/** Flows with something to serve. */
	activeCount(): number;
	/** Flows for which state is kept, including idle ones that are not refilled yet. */
	size(): number;
};

type Flow = {weight: number; deficit: number; isActive: boolean; idleSinceRound: number};

const minimumWeight = 0.01;

/** Creates a level without flows; `quantum` is the cost that a flow of weight 1 gets per round. */
export const createDeficitRoundRobin = <Key>(quantum: number): DeficitRoundRobin<Key> => {
	const flows = new Map<Key, Flow>();
	const ring: Key[] = [];
	let cursor = 0;
	let round = 0;

	const quantumOf = (flow: Flow) => quantum * flow.weight;

	const refill = (flow: Flow, rounds: number) => {
		flow.deficit = Math.min(quantumOf(flow), flow.deficit + rounds * quantumOf(flow));
	};

	const roundsUntilPositive = (flow: Flow) =>
		flow.deficit > 0 ? 0 : Math.floor(-flow.deficit / quantumOf(flow)) + 1;

	const pruneIdle = () => {
		for (const [key, flow] of flows) {
			const rounds = round - flow.idleSinceRound;
			if (!flow.isActive && flow.deficit + rounds * quantumOf(flow) >= quantumOf(flow)) {
				flows.delete(key);
			}
		}
	};

	const advanceRounds = (servable: readonly Key[]) => {
		const states = servable.map((key) => flows.get(key)!);
		const rounds = Math.min(...states.map((flow) => roundsUntilPositive(flow)));
		if (rounds === 0) {
			return;
		}

		round += rounds;
		for (const flow of states) {
			refill(flow, rounds);
		}

		pruneIdle();
	};

	return {
		activate(key, weight) {
			const flow = flows.get(key);
			const bounded = Math.max(minimumWeight, weight);
			if (!flow) {
				flows.set(key, {
					weight: bounded,
					deficit: quantum * bounded,
					isActive: true,
					idleSinceRound: 0,
				});
				ring.push(key);
				return;
			}

			flow.weight = bounded;
			if (!flow.isActive) {
				refill(flow, round - flow.idleSinceRound);
				flow.isActive = true;
				ring.push(key);
			}
		},
		deactivate(key) {
			const flow = flows.get(key);
			if (!flow?.isActive) {
				return;
			}

			flow.isActive = false;
			flow.idleSinceRound = round;
			const index = ring.indexOf(key);
			ring.splice(index, 1);
			if (index < cursor) {
				cursor--;
			}

			if (flow.deficit >= quantumOf(flow) || ring.length === 0) {
				flows.delete(key);
			}
		},
		select(canServe) {
			const servable = ring.filter((key) => canServe(key));
			if (servable.length === 0) {
				return undefined;
			}

			advanceRounds(servable);
			const candidates = new Set(servable);
			for (let step = 0; step < ring.length; step++) {
				const index = (cursor + step) % ring.length;
				const key = ring[index]!;
				if (candidates.has(key) && flows.get(key)!.deficit > 0) {
					cursor = index;
					return key;
				}
			}

			return undefined;
		},
		charge(key, cost) {
			const flow = flows.get(key);
			if (!flow) {
				return;
			}

			flow.deficit -= cost;
			if (flow.deficit <= 0 && ring[cursor] === key) {
				cursor = (cursor + 1) % Math.max(1, ring.length);
			}
		},
		activeCount: () => ring.length,
		size: () => flows.size,
	};
};
