/**
 * Exchanges the demand of teams with the daemons that serve the same teams, so
 * that each daemon can enforce its part of a limit without a shared counter.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as disposable from '@hawthornfront/base/common/disposable.js';
import * as entryVmOrder from '@hawthornfront/decisions/common/entry-vm-order.js';
import type * as limits from '@hawthornfront/decisions/common/limits.js';
import type * as fleetInterface from '@hawthornfront/fleet/common/fleet-interface.js';
import type * as membership from '@hawthornfront/fleet/common/membership.js';
import * as limitsMethods from '@hawthornfront/protocol/common/limits-methods.js';
import type * as rpc from '@hawthornfront/protocol/common/rpc.js';
import * as demandLedger from '../common/demand-ledger.js';

const periodMs = 2000;
/** Sums of a domain cross to other domains at a lower rate. */
const domainPeriods = 5;
/** A demand is sent again when it changed by this share, or after {@link renewMs}. */
const significantShare = 0.2;
const renewMs = 20_000;
/** Demand below this share of a limit is not worth a message. */
const minimumDemand = 0.02;

export type DemandExchangeOptions = {
	clock: clock.Clock;
	fleet: fleetInterface.Fleet;
	limiter: limits.Limiter;
	rpcClient: rpc.RpcClient;
	rpcServer: rpc.RpcServer;
	name: string;
	failureDomain: string;
	vmsPerDomain: number;
	floorShare: number;
};

export type DemandExchange = disposable.Disposable & {
	dump(): unknown;
};

type Sent = {demand: number; atMs: number};
type Batch = Map<string, Array<[string, number]>>;

/** Starts the exchange. */
export const startDemandExchange = (options: DemandExchangeOptions): DemandExchange => {
	const {clock: time, fleet, limiter, rpcClient, name, failureDomain} = options;
	const resources = disposable.createDisposableStore();
	const ledger = demandLedger.createDemandLedger(time, options.floorShare);
	const sent = new Map<string, Sent>();
	let period = 0;
	let calls = 0;

	const steerable = (): Map<string, membership.Member[]> => {
		const byDomain = new Map<string, membership.Member[]>();
		for (const member of fleet.members()) {
			if (member.state === 'alive') {
				const list = byDomain.get(member.failureDomain) ?? [];
				list.push(member);
				byDomain.set(member.failureDomain, list);
			}
		}

		return byDomain;
	};

	const serving = (team: string, members: membership.Member[] = []): membership.Member[] =>
		entryVmOrder.orderEntryVms(
			team,
			members.map((member) => ({...member, isSuspect: false, isLeaving: false})),
			options.vmsPerDomain,
		);

	const isDue = (key: string, demand: number): boolean => {
		const last = sent.get(key);
		const isChanged =
			!last || Math.abs(demand - last.demand) > significantShare * Math.max(demand, last.demand);
		const isOld = last !== undefined && time.nowMs() - last.atMs >= renewMs;
		const isNothing = demand < minimumDemand && (last?.demand ?? 0) < minimumDemand;
		if (isNothing || (!isChanged && !isOld)) {
			return false;
		}

		sent.set(key, {demand, atMs: time.nowMs()});
		return true;
	};

	const put = (batch: Batch, members: membership.Member[], team: string, demand: number) => {
		for (const member of members) {
			if (member.name !== name) {
				const list = batch.get(member.httpAddress) ?? [];
				list.push([team, demand]);
				batch.set(member.httpAddress, list);
			}
		}
	};

	const send = async (scope: demandLedger.Scope, sender: string, batch: Batch): Promise<void> => {
		for (const [address, demands] of batch) {
			calls++;
			try {
				await rpcClient.call(address, limitsMethods.limitsDemand, {scope, name: sender, demands});
			} catch {
				// The next renewal brings the figures; until then the floor part holds.
			}
		}
	};

	const collect = (byDomain: Map<string, membership.Member[]>) => {
		const inside: Batch = new Map();
		const across: Batch = new Map();
		for (const {team, demand} of limiter.demands()) {
			const near = serving(team, byDomain.get(failureDomain));
			if (isDue(`daemon/${team}`, demand)) {
				put(inside, near, team, demand);
			}

			const isSpeaker = near[0]?.name === name;
			const total = ledger.domainDemand(team);
			if (isSpeaker && period % domainPeriods === 0 && isDue(`domain/${team}`, total)) {
				for (const [domain, members] of byDomain) {
					if (domain !== failureDomain) {
						put(across, serving(team, members), team, total);
					}
				}
			}
		}

		return {inside, across};
	};

	const updateShares = (byDomain: Map<string, membership.Member[]>) => {
		const domains = new Set(
			[...fleet.snapshot().upstreams.values()].map((upstream) => upstream.failureDomain),
		);
		const view: demandLedger.ShareView = {
			ownDaemon: name,
			ownDomain: failureDomain,
			domainCount: domains.size,
			liveDomains: [...byDomain.keys()],
			daemonsOf: (team) => serving(team, byDomain.get(failureDomain)).map((member) => member.name),
		};
		for (const team of ledger.teams()) {
			limiter.setShare(team, ledger.share(team, view));
		}
	};

	const tick = () => {
		period++;
		const byDomain = steerable();
		ledger.setOwn(new Map(limiter.demands().map(({team, demand}) => [team, demand])));
		const {inside, across} = collect(byDomain);
		updateShares(byDomain);
		for (const key of sent.keys()) {
			if (time.nowMs() - sent.get(key)!.atMs > 2 * renewMs) {
				sent.delete(key);
			}
		}

		void send('daemon', name, inside);
		void send('domain', failureDomain, across);
	};

	options.rpcServer.handle(limitsMethods.limitsDemand, ({scope, name: sender, demands}) => {
		for (const [team, demand] of demands) {
			ledger.note(scope, sender, team, demand);
		}

		return {};
	});
	resources.add(time.setPeriodicTimer(tick, periodMs));
	return {
		dump: () => ({teams: ledger.size(), calls}),
		dispose() {
			resources.dispose();
		},
	};
};
