/** What a daemon tells the others of the use of teams, and how it applies what it hears from them. */
import type * as teamQuota from './team-quota.js';
import type * as teamUsage from './team-usage.js';

/** A message that may contain a report. */
type UseMessage = {
	sender: {name: string; failureDomain: string};
	isRelayed: boolean;
	teamUse?: teamUsage.UseReport;
};

export type TeamUseExchange = {
	/** Call it at each tick, before the messages are built. */
	noteTick(isRelay: boolean): void;
	/** Use at this daemon; undefined without quotas. */
	localUse(): teamUsage.UseReport | undefined;
	/** Use of the local failure domain; undefined unless this daemon is a relay that has heard it. */
	domainUse(): teamUsage.UseReport | undefined;
	/** Use over all daemons; undefined unless this daemon is a relay that has heard them. */
	totalUse(): teamUsage.UseReport | undefined;
	/** Applies the report of a message, if it contains one. */
	receive(message: UseMessage): void;
};

export type TeamUseExchangeOptions = {
	nowMs(): number;
	quota: Pick<teamQuota.TeamQuota, 'localUse' | 'noteUse'>;
	usage: teamUsage.TeamUsage;
	/** Whether any team has a quota. */
	hasQuotas(): boolean;
	/** Whether the other daemons are known. */
	isFleetKnown(): boolean;
	failureDomain: string;
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
		receive({sender, isRelayed, teamUse}) {
			const isRelay = Number.isFinite(relaySinceMs);
			const isLocal = sender.failureDomain === options.failureDomain;
			if (!teamUse || !options.hasQuotas()) {
				return;
			}

			if (isRelayed && !canSum()) {
				quota.noteUse(teamUse);
			} else if (!isRelayed && isRelay && isLocal) {
				usage.notePeer(sender.name, teamUse);
			} else if (!isRelayed && isRelay) {
				usage.noteDomain(sender.failureDomain, teamUse);
			}
		},
	};
};
