/**
 * Decides which peers get a heartbeat in a tick and which members are
 * suspected, as a pure state machine. Each tick probes one peer, in a random
 * order that reaches every peer once per round. A peer that does not answer is
 * probed through other peers before it is suspected, so that a link that fails
 * in one direction does not remove a member.
 */
import type * as randomNumbers from '@hawthornfront/base/common/random.js';

const indirectAfterTicks = 1;
const suspectAfterTicks = 3;

type Probe = {sequence: number; ageTicks: number};

/** Actions for one tick. */
export type Plan = {
	/** Peer whose heartbeat requests an answer. */
	probe: string | undefined;
	/** Peers that get a heartbeat without a request for an answer. */
	gossip: string[];
	/** Indirect probes: the helper is asked to probe the member. */
	indirect: Array<{helper: string; member: string}>;
	suspects: string[];
};

/** Peers of the local failure domain with the last sequence received from each. */
export type Peers = ReadonlyMap<string, number>;

export type FailureDetector = {
	plan(peers: Peers): Plan;
	/** Discards open probes after a pause of this process. */
	reset(): void;
};

const shuffle = (names: string[], random: randomNumbers.Random): string[] => {
	for (let index = names.length - 1; index > 0; index--) {
		const other = random.integer(0, index);
		[names[index], names[other]] = [names[other]!, names[index]!];
	}

	return names;
};

/** Creates a detector without open probes. */
export const createFailureDetector = (
	random: randomNumbers.Random,
	settings: {gossipFanout: number; indirectProbes: number},
): FailureDetector => {
	const probes = new Map<string, Probe>();
	let round: string[] = [];

	const nextProbe = (peers: Peers): string | undefined => {
		for (;;) {
			const name = round.pop();
			if (name === undefined) {
				round = shuffle([...peers.keys()], random);
				return round.pop();
			}

			if (peers.has(name)) {
				return name;
			}
		}
	};

	const pickRandom = (peers: Peers, count: number, excluded: string | undefined): string[] => {
		const names = [...peers.keys()].filter((name) => name !== excluded);
		const picked: string[] = [];
		while (picked.length < count && names.length > 0) {
			const [name] = names.splice(random.integer(0, names.length - 1), 1);
			picked.push(name!);
		}

		return picked;
	};

	const checkProbes = (peers: Peers, plan: Plan) => {
		for (const [name, probe] of probes) {
			const sequence = peers.get(name);
			if (sequence === undefined || sequence > probe.sequence) {
				probes.delete(name);
				continue;
			}

			probe.ageTicks++;
			if (probe.ageTicks === indirectAfterTicks) {
				const helpers = pickRandom(peers, settings.indirectProbes, name);
				plan.indirect.push(...helpers.map((helper) => ({helper, member: name})));
			} else if (probe.ageTicks >= suspectAfterTicks) {
				probes.delete(name);
				plan.suspects.push(name);
			}
		}
	};

	return {
		plan(peers) {
			const plan: Plan = {probe: undefined, gossip: [], indirect: [], suspects: []};
			checkProbes(peers, plan);
			plan.probe = nextProbe(peers);
			if (plan.probe !== undefined && !probes.has(plan.probe)) {
				probes.set(plan.probe, {sequence: peers.get(plan.probe)!, ageTicks: 0});
			}

			plan.gossip = pickRandom(peers, settings.gossipFanout, plan.probe);
			return plan;
		},
		reset() {
			probes.clear();
		},
	};
};
