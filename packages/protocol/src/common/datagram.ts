/** Datagrams between entry daemons. */
import type * as claim from './claim.js';

/** Load of one upstream. It carries an age and not a time, because the clocks of daemons differ. */
export type LoadDelta = {
	/** Hash of the name, or the name itself when the hash is ambiguous. */
	upstream: number | string;
	running: number;
	waiting: number;
	slots: number;
	leaving: boolean;
	/** Index in the upstream's `models` in the catalogue, or the name. */
	model: number | string;
	role: string;
	ageMs: number;
};

/** Expected wait in one region for one model or service and work class. */
export type WaitEntry = {
	model: string;
	workClass: 'short' | 'long' | 'service';
	waitMs: number;
};

/** Expected waits in a region and their age. */
export type RegionWaits = {region: string; ageMs: number; waits: WaitEntry[]};

/** Fields about the sender, part of every datagram. */
export type Sender = {
	name: string;
	incarnation: number;
	sequence: number;
	/** Revision of the configuration in force at the sender. */
	revision: number;
	state: claim.MemberState;
	isWatching: boolean;
};

export type Heartbeat = Sender & {
	kind: 'heartbeat';
	/** Requests a heartbeat from the receiver. */
	wantsAnswer: boolean;
	/** Requests the full status of the receiver. */
	wantsStatus: boolean;
	/** Digest of the sender's list of live members. */
	digest: number;
	/** Full claims, for members that are new or whose location or address has changed. */
	claims: claim.Claim[];
	shortClaims: claim.ShortClaim[];
	loads: LoadDelta[];
	/** Members that the receiver probes on behalf of the sender. */
	probes: string[];
	regions: RegionWaits[];
};

/** Summary of a failure domain, sent by its relays to other failure domains. */
export type Summary = Sender & {
	kind: 'summary';
	region: string;
	failureDomain: string;
	/** Digest of the members of the sender's failure domain. */
	digest: number;
	/** Digest of all members in the sender's list. */
	fullDigest: number;
	waits: WaitEntry[];
};

export type Datagram = Heartbeat | Summary;
