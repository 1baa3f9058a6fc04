/** The datagrams between entry daemons; `datagram-codec` encodes them. */
import type * as claim from './claim.js';

/** Load of one upstream. `ageMs` replaces a time, since clocks of daemons differ. */
export type LoadDelta = {
	/** Hash of the name, or the name itself where the hash is ambiguous. */
	upstream: number | string;
	running: number;
	waiting: number;
	slots: number;
	leaving: boolean;
	/** Index in the models of the upstream in the catalogue, or the name. */
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

/** Expected waits of a region, with the age of the figures. */
export type RegionWaits = {region: string; ageMs: number; waits: WaitEntry[]};

/** What every datagram says about its sender. */
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
	/** The receiver answers with a heartbeat of its own. */
	wantsAnswer: boolean;
	/** The receiver answers with its full status. */
	wantsStatus: boolean;
	/** Digest of the sender's list of live members. */
	digest: number;
	/** Full claims, for members that are new or have moved. */
	claims: claim.Claim[];
	shortClaims: claim.ShortClaim[];
	loads: LoadDelta[];
	/** Members that the receiver shall probe for the sender. */
	probes: string[];
	regions: RegionWaits[];
};

/** Sent by relays to other failure domains. */
export type Summary = Sender & {
	kind: 'summary';
	region: string;
	failureDomain: string;
	/** Digest of the members of the sender's failure domain. */
	digest: number;
	/** Digest of all members that the sender lists. */
	fullDigest: number;
	waits: WaitEntry[];
};

export type Datagram = Heartbeat | Summary;
