/**
 * Whether this daemon hears of the world outside of its own part of the network. The daemons of
 * a region that is cut off still hear each other, and each takes the store for reached until its
 * watch has failed, which takes seconds.
 */
import * as event from '@hawthornfront/base/common/event.js';

export type OutsideMember = {
	region: string;
	failureDomain: string;
	/** Monotonic time at which it was last known to be alive. */
	aliveAtMs: number;
	/** Only the store lists it. */
	isUnconfirmed: boolean;
};

export type OutsideContact = {
	/** Fires with the time of the silence when nothing is heard from outside any more. */
	readonly onDidFallSilent: event.Event<number>;
	/** Whether the other regions or, if none is known, the other failure domains are heard, or the store answers this daemon. */
	isHeard(): boolean;
};

export type OutsideContactOptions = {
	nowMs(): number;
	region: string;
	failureDomain: string;
	/** Other daemons that are alive. */
	members(): readonly OutsideMember[];
	/** Time since the store last answered this daemon. */
	storeResponseAgeMs(): number;
	/** Time for which this daemon and its peers have taken the store for reached. */
	storeReachedMs(): number;
};

/** Other regions send every 500 ms, and the relays pass on every 250 ms what they heard. */
const maxSilenceMs = 1000;
/** A store that has been taken for reached for so long was: the watches would have failed. */
const storeDecidedMs = 6000;

/** Creates the state of a daemon that has heard nobody yet. */
export const createOutsideContact = (options: OutsideContactOptions): OutsideContact => {
	const {nowMs, region, failureDomain} = options;
	const didFallSilent = event.createEmitter<number>();
	/** When a member of another region, or of another failure domain, was last known to be alive. */
	const heardAtMs: {region?: number; failureDomain?: number} = {};
	let checked: {atMs: number; isHeard: boolean} | undefined;

	const noteMembers = () => {
		for (const member of options.members()) {
			if (member.isUnconfirmed) {
				continue;
			}

			if (member.region !== region) {
				heardAtMs.region = Math.max(heardAtMs.region ?? 0, member.aliveAtMs);
			} else if (member.failureDomain !== failureDomain) {
				heardAtMs.failureDomain = Math.max(heardAtMs.failureDomain ?? 0, member.aliveAtMs);
			}
		}
	};

	/** Undefined while there has been nobody to hear. */
	const silenceMs = (): number | undefined => {
		const lastMs = heardAtMs.region ?? heardAtMs.failureDomain;
		return lastMs === undefined ? undefined : nowMs() - lastMs;
	};

	const check = (): boolean => {
		noteMembers();
		const silentMs = silenceMs();
		return (
			silentMs === undefined ||
			silentMs < maxSilenceMs ||
			(silentMs > storeDecidedMs && options.storeReachedMs() > storeDecidedMs) ||
			options.storeResponseAgeMs() < maxSilenceMs
		);
	};

	return {
		onDidFallSilent: didFallSilent.event,
		isHeard() {
			if (checked?.atMs === nowMs()) {
				return checked.isHeard;
			}

			const wasHeard = checked?.isHeard ?? true;
			checked = {atMs: nowMs(), isHeard: check()};
			if (wasHeard && !checked.isHeard) {
				didFallSilent.fire(silenceMs()!);
			}

			return checked.isHeard;
		},
	};
};
