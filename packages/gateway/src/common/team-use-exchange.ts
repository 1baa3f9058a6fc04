/** What a daemon tells the others of the use of teams, and how it applies what it hears from them. */
import type * as teamQuota from './team-quota.js';
import type * as teamUsage from './team-usage.js';

/** From whom a report comes. */
export type UseSource =
	/** A relay of the local failure domain, on all daemons. */
	| {kind: 'relay'}
	/** A daemon of the local failure domain, on itself. */
	| {kind: 'peer'; name: string}
	/** A relay of another failure domain, on that domain. */
	| {kind: 'domain'; name: string};

export type TeamUseExchange = {
	/** Call it at each tick, before the messages are built. */
	noteTick(isRelay: boolean): void;
	/** Use at this daemon; undefined without quotas. */
	localUse(): teamUsage.UseReport | undefined;
	/** Use of the local failure domain; undefined unless this daemon is a relay that has heard it. */
	domainUse(): teamUsage.UseReport | undefined;
	/** Use over all daemons; undefined unless this daemon is a relay that has heard them. */
	totalUse(): teamUsage.UseReport | undefined;
	receive(report: teamUsage.UseReport, source: UseSource): void;
};

export type TeamUseExchangeOptions = {
	nowMs(): number;
	quota: Pick<teamQuota.TeamQuota, 'localUse' | 'noteUse'>;
	usage: teamUsage.TeamUsage;
	/** Whether any team has a quota. */
	hasQuotas(): boolean;
	/** Whether the other daemons are known. */
	isFleetKnown(): boolean;
};

/** A new relay has heard all daemons of its failure domain after three reports, of which some may be lost. */
const relayWarmUpMs = 750;

export const createTeamUseExchange = (options: TeamUseExchangeOptions): TeamUseExchange => {
	const {nowMs, quota, usage} = options;
	/** Infinite unless this daemon is a relay. */
	let relaySinceMs = Number.POSITIVE_INFINITY;
	const canSum = () =>
		options.hasQuotas() && options.isFleetKnown() && nowMs() - relaySinceMs >= relayWarmUpMs;
	return {
		noteTick(isRelay) {
			if (!isRelay || !options.hasQuotas()) {
				relaySinceMs = Number.POSITIVE_INFINITY;
				usage.clear();
				return;
			}

			relaySinceMs = Math.min(relaySinceMs, nowMs());
			if (canSum()) {
				quota.noteUse(usage.totalUse());
			}
		},
		localUse: () =>
			options.hasQuotas() ? {uses: quota.localUse(), ageMs: 0, unheardShare: 0} : undefined,
		domainUse: () => (canSum() ? usage.domainUse() : undefined),
		totalUse: () => (canSum() ? usage.totalUse() : undefined),
		receive(report, source) {
			if (!options.hasQuotas()) {
				return;
			}

			const isRelay = Number.isFinite(relaySinceMs);
			if (source.kind === 'relay' && !canSum()) {
				quota.noteUse(report);
			} else if (source.kind === 'peer' && isRelay) {
				usage.notePeer(source.name, report);
			} else if (source.kind === 'domain' && isRelay) {
				usage.noteDomain(source.name, report);
			}
		},
	};
};
