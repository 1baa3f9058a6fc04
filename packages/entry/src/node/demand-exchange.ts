/**
 * Exchanges the demand of teams between the daemons that serve the same teams, so
 * that each daemon can enforce its share of a limit without a shared counter.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as disposable from '@hawthornfront/base/common/disposable.js';
import * as entryVmOrder from '@hawthornfront/decisions/common/entry-vm-order.js';
import type * as limits from '@hawthornfront/decisions/common/limits.js';
import type * as fleetInterface from '@hawthornfront/fleet/common/fleet-interface.js';
import type * as membership from '@hawthornfront/fleet/common/membership.js';
import * as limitsMethods from '@hawthornfront/protocol/common/limits-methods.js';
import type * as rpc from '@hawthornfront/protocol/common/rpc.js';
import * as demandTable from '../common/demand-table.js';

const periodMs = 2000;
/** The total of a failure domain is reported to other domains once in this many periods. */
const periodsPerDomainReport = 5;
/** A demand is sent again when it has changed by more than this share, or after {@link renewMs}. */
const significantShare = 0.2;
const renewMs = 20_000;
/** Demand below this share of a limit is not sent. */
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

export const startDemandExchange = (options: DemandExchangeOptions): DemandExchange => {
	const {clock: time, fleet, limiter, rpcClient, name, failureDomain} = options;
	const resources = disposable.createDisposableStore();
	const table = demandTable.createDemandTable(time, options.floorShare);
	const sent = new Map<string, Sent>();
	let period = 0;
	let calls = 0;

	const aliveMembersByDomain = (): Map<string, membership.Member[]> => {
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

	const membersServing = (team: string, members: membership.Member[] = []): membership.Member[] =>
		entryVmOrder.orderEntryVms(
			team,
			members.map((member) => ({...member, isSuspect: false, isLeaving: false})),
			options.vmsPerDomain,
		);

	const isDue = (key: string, demand: number): boolean => {
		const last = sent.get(key);
		const isChanged =
			!last || Math.abs(demand - last.demand) > significantShare * Math.max(demand, last.demand);
		const isRenewalDue = last !== undefined && time.nowMs() - last.atMs >= renewMs;
		const isNegligible = demand < minimumDemand && (last?.demand ?? 0) < minimumDemand;
		if (isNegligible || (!isChanged && !isRenewalDue)) {
			return false;
		}

		sent.set(key, {demand, atMs: time.nowMs()});
		return true;
	};

	const addToBatch = (batch: Batch, members: membership.Member[], team: string, demand: number) => {
		for (const member of members) {
			if (member.name !== name) {
				const list = batch.get(member.httpAddress) ?? [];
				list.push([team, demand]);
				batch.set(member.httpAddress, list);
			}
		}
	};

	const send = async (scope: demandTable.Scope, sender: string, batch: Batch): Promise<void> => {
		for (const [address, demands] of batch) {
			calls++;
			try {
				await rpcClient.call(address, limitsMethods.limitsDemand, {scope, name: sender, demands});
			} catch {
				// The next renewal sends the demand again; until then the receiver applies the floor share.
			}
		}
	};

	const collect = (byDomain: Map<string, membership.Member[]>) => {
		const domainBatch: Batch = new Map();
		const remoteBatch: Batch = new Map();
		for (const {team, demand} of limiter.demands()) {
			const near = membersServing(team, byDomain.get(failureDomain));
			if (isDue(`daemon/${team}`, demand)) {
				addToBatch(domainBatch, near, team, demand);
			}

			const isDomainReporter = near[0]?.name === name;
			const domainDemand = table.domainDemand(team);
			if (
				isDomainReporter &&
				period % periodsPerDomainReport === 0 &&
				isDue(`domain/${team}`, domainDemand)
			) {
				for (const [domain, members] of byDomain) {
					if (domain !== failureDomain) {
						addToBatch(remoteBatch, membersServing(team, members), team, domainDemand);
					}
				}
			}
		}

		return {inside: domainBatch, across: remoteBatch};
	};

	const updateShares = (byDomain: Map<string, membership.Member[]>) => {
		const domains = new Set(
			[...fleet.snapshot().upstreams.values()].map((upstream) => upstream.failureDomain),
		);
		const view: demandTable.ShareView = {
			ownDaemon: name,
			ownDomain: failureDomain,
			domainCount: domains.size,
			liveDomains: [...byDomain.keys()],
			daemonsOf: (team) =>
				membersServing(team, byDomain.get(failureDomain)).map((member) => member.name),
		};
		for (const team of table.teams()) {
			limiter.setShare(team, table.share(team, view));
		}
	};

	const tick = () => {
		period++;
		const byDomain = aliveMembersByDomain();
		table.setLocalDemands(new Map(limiter.demands().map(({team, demand}) => [team, demand])));
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
			table.applyReport(scope, sender, team, demand);
		}

		return {};
	});
	resources.add(time.setPeriodicTimer(tick, periodMs));
	return {
		dump: () => ({teams: table.size(), calls}),
		dispose() {
			resources.dispose();
		},
	};
};
