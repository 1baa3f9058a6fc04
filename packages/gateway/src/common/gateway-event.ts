/**
 * Events that a daemon logs: decisions on requests and changes of its state.
 * docs/OPERATIONS.md explains each kind.
 */

import type * as teamQuota from './team-quota.js';
import type * as wireFormat from './wire-format.js';

/** Why a request is not sent again after an attempt. */
export type ResendObstacle =
	| 'not-idempotent'
	| 'partly-passed'
	| 'no-time'
	| 'upstreams-used'
	| 'budget'
	/** The prompt may have crashed the upstream. */
	| 'suspected-prompt';

/** Why no other upstream is tried beside a stalled one. */
export type TakeoverObstacle = ResendObstacle | 'relayed' | 'no-upstream' | 'overloaded' | 'paused';

/** Events of one request; all contain its id, and the name of its team, but no key or digest. */
export type RequestEvent = {request: string; route: string; team?: string} & (
	| {
			kind: 'request-refused';
			reason: string;
			status: number;
			retryAfterMs: number;
			expectedMs: number;
			candidates: number;
			remainingMs: number;
			/** 0 is the most urgent; the team's before the route's, which adds a fraction. */
			rank: number;
			/** The caller has part of the answer already. */
			hasStarted: boolean;
			/** Prompt part that is quarantined. */
			part?: string;
			/** Inputs of a refusal because of overload in this region. */
			shedding?: {
				/** `deadline` and `goal`: too late for these; `share`: other requests are worth more. */
				cause: 'deadline' | 'goal' | 'share';
				/** Wait relative to what the goal leaves for it. */
				pressure: number;
				/** Share of such requests that is admitted. */
				admittedShare: number;
				/** Time of an upstream that the request needs. */
				workMs: number;
				/** Time in which the upstreams of the service read what waits. */
				queuedMs: number;
				/** Requests at the upstreams of the service, and their slots. */
				requests: number;
				slots: number;
			};
			configVersion: number;
			upstreamRevision: number;
	  }
	| {
			kind: 'request-sent';
			upstream: string;
			send: number;
			expectedMs: number;
			candidates: number;
			requestsThere?: number;
			heldTokens?: number;
			promptSource?: string;
			streamingMs?: number;
			/** Set to `slow` for an upstream that is cold or may be, to which this daemon alone sends. */
			pace?: string;
			/** Ids of the prompt parts that other requests may share; only the first ones of a long list. */
			promptParts?: string[];
			remainingMs: number;
			resumeAfter?: string;
	  }
	| {
			kind: 'request-relayed';
			region: string;
			peer: string;
			send: number;
			expectedMs: number;
			outlookAgeMs?: number;
			remainingMs: number;
	  }
	| {
			kind: 'request-attempt-failed';
			peer: string;
			step: string;
			outcome: 'not-run' | 'unknown' | 'ran';
			detail: string;
			afterMs: number;
			isRelay: boolean;
			/** Complete events that the peer sent. */
			events: number;
			/** Time since the peer last made progress. */
			silentMs: number;
			/** Set when the attempt was cancelled because its peer stalled. */
			stallLimitMs?: number;
			/** Delay of the timer that detected the stall. */
			timerLateMs?: number;
			/** `other-attempt`: another attempt that is already running continues. */
			next: 'resend' | 'give-up' | 'other-attempt';
			obstacle?: ResendObstacle;
	  }
	| {
			kind: 'request-silent';
			peer: string;
			isRelay: boolean;
			step: string;
			/** Complete events that the peer sent. */
			events: number;
			/** Time since the peer last made progress. */
			silentMs: number;
			limitMs: number;
			/** Delay of the timer that detected the stall. */
			timerLateMs: number;
			remainingMs: number;
			next: 'takeover' | 'wait' | 'give-up';
			obstacle?: TakeoverObstacle;
	  }
	| {
			kind: 'request-takeover';
			successor: string;
			/** `kept`: the stalled peer made progress again; the others state why the successor answers now. */
			result: 'kept' | 'answer' | 'held' | 'failure';
			remainingMs: number;
	  }
	| {
			kind: 'request-ended';
			outcome: 'answered' | 'not-run' | 'unknown' | 'ran' | 'caller-gone' | 'broken';
			status: number;
			/** Why the answer is not complete. */
			reason?: string;
			sends: number;
			firstMs: number;
			totalMs: number;
			service: string;
			goalMs: number;
	  }
	/** Answered with 401. */
	| {kind: 'key-refused'; reason: wireFormat.KeyFault | 'unknown-key'; configVersion: number}
	/** The route and the team have no home region in common. */
	| {kind: 'regions-disjoint'; configVersion: number}
	/** A relayed request was routed by a later version than the one in force here. */
	| {
			kind: 'relayed-by-later-config';
			configVersion: number;
			relayedVersion: number;
			next: 'relayed-route' | 'refuse';
	  }
);

/** Share of the memory limit, or of the heap limit if that is nearer, that the process uses. */
export type MemoryLevel = 'normal' | 'high' | 'critical';

/** Changes of the daemon's state, including its start and stop. */
export type StateEvent =
	| {kind: 'started'; name: string; region: string; startedAtUnixMs: number}
	| {kind: 'start-failed'; step: 'settings' | 'servers'; detail: string}
	/** A stop signal arrived during the start. */
	| {kind: 'start-cancelled'; step: 'settings' | 'servers'}
	/** An error that nothing handles ends the process. */
	| {kind: 'process-failed'; origin: string; detail: string; stack: string}
	| {kind: 'process-ended'; code: number; uptimeMs: number}
	| {
			kind: 'memory';
			level: MemoryLevel;
			residentMb: number;
			/** Limit of the resident memory; undefined if the settings name none. */
			limitMb: number | undefined;
			heapUsedMb: number;
			heapLimitMb: number;
			/** Buffers outside the heap. */
			externalMb: number;
			/** What the daemon holds, by name: entries, connections or bytes. */
			held: Record<string, number>;
	  }
	/** One step of the event loop, or a pause of the process, delayed a timer. */
	| {kind: 'loop-late'; lateMs: number}
	/** The start waits for an address that another process holds. */
	| {kind: 'address-in-use'; detail: string}
	/** The start waits for an address that the VM does not have yet. */
	| {kind: 'address-unavailable'; detail: string}
	| {kind: 'settings-reloaded'; changed: boolean}
	| {kind: 'settings-rejected'; step: 'start' | 'reload'; detail: string}
	/** A value that the platform filled in is replaced. */
	| {kind: 'setting-adjusted'; setting: string; value: string; inForce: string}
	| {kind: 'stopping'; inFlight: number; graceMs: number}
	| {kind: 'stopped'; inFlight: number; reason: string}
	/** The planned stop failed or did not finish; the process exits. */
	| {kind: 'stop-failed'; detail: string}
	/** Requests of a team that its quota refused since the last line, with the inputs of the last moment. */
	| ({kind: 'quota-refused'} & teamQuota.QuotaRefusals)
	| {kind: 'readiness'; isReady: boolean; reason: string}
	| {
			kind: 'config-in-force';
			version: number;
			previous: number;
			source: string;
			routes: number;
			teams: number;
	  }
	| {kind: 'config-ignored'; version: number; current: number; source: string}
	| {kind: 'entry-rejected'; key: string; revision: number; detail: string}
	| {kind: 'evacuation'; failureDomain: string; isEvacuated: boolean; revision: number}
	/** A restored store lacks an evacuation that was in force. */
	| {kind: 'evacuation-kept'; failureDomain: string; revision: number}
	| {
			kind: 'upstream';
			change: string;
			upstream: string;
			service: string;
			address: string;
			failureDomain: string;
			coldMs: number;
			revision: number;
			/** `store`, `answer` of the upstream, `timeout`, or the peer that reported the change. */
			source: string;
	  }
	/** Whether an upstream is cold, as its connections, its health, the store or a peer show. */
	| {
			kind: 'upstream-warmth';
			upstream: string;
			/** `suspected`: it may have restarted; `unclear`: a connection ended, and nothing is sent until the others are known. */
			state: 'unknown' | 'unclear' | 'suspected' | 'warm' | 'cold';
			/** Time for which it counts. */
			holdsMs: number;
			/** `own`, `store`, or the peer that reported it. */
			source: string;
			/** What showed it: `health`, `reported`, or what happened to the connections. */
			detail: string;
	  }
	| {kind: 'isolation'; isInformed: boolean; silentMs: number}
	/** No other region is heard, and the store has not answered this daemon meanwhile. */
	| {kind: 'outside-silent'; silentMs: number}
	| {
			kind: 'upstream-limit';
			upstream: string;
			/** Requests a second of all daemons together; undefined when it no longer names a limit. */
			requestsPerS: number | undefined;
			source: string;
	  }
	| {
			kind: 'upstream-pause';
			upstream: string;
			/** Rest of the pause at this daemon; undefined for a value that is no time. */
			remainingMs: number | undefined;
			/** The value, as the upstream named it: milliseconds, or a text that is no time. */
			named: number | string;
	  }
	| {
			kind: 'upstream-crashed';
			upstream: string;
			service: string;
			/** Requests of this daemon whose connections broke. */
			broken: number;
			/** Requests of them that had no event, or one. */
			suspects: number;
			/** Requests of them whose answer had begun without an event. */
			answering: number;
	  }
	/** A request that an upstream may have crashed on; only the likeliest ones of many. */
	| {
			kind: 'crash-suspect';
			upstream: string;
			request: string;
			/** Equal for requests that repeat the same method, path and body. */
			digest: string;
			/** Its answer had begun without an event. */
			wasAnswering: boolean;
	  }
	| {
			kind: 'prompt-part';
			change: 'suspected' | 'quarantined' | 'released';
			service: string;
			part: string;
			/** Crashes during requests with the part since its last answer. */
			crashes: number;
			/** Further parts with the same evidence that changed in the same way; they have no line. */
			others: number;
			/** Rest of the quarantine. */
			remainingMs: number;
			/** `own`, `store`, or the daemon that reported the last crash or answer. */
			source: string;
	  }
	| {kind: 'directory'; region: string; basis: string; named: number; addresses: string[]}
	| {kind: 'store-watch'; isWatching: boolean; peers: number; behindMs: number}
	/** Whether this daemon, while it watches, hears of upstreams without a pause for its region. */
	| {kind: 'store-pace'; isPrompt: boolean; watchers: number}
	/** A peer knows of changes that this daemon's watches should have delivered. */
	| {
			kind: 'store-watch-silent';
			peer: string;
			lagMs: number;
			/** Revisions up to which the store has answered this daemon, and of the peer's last changes. */
			operatorRevision: number;
			peerOperatorRevision: number;
			upstreamRevision: number;
			peerUpstreamRevision: number;
	  }
	| {
			kind: 'store-reachability';
			isReachable: boolean;
			/** Whether the store responds to this daemon; `none`: it does not watch. */
			ownContact: string;
			isReachedByPeers: boolean;
	  }
	| {kind: 'store-lost'; feed: string; detail: string}
	/** The store was restored from a copy since an earlier response. */
	| {kind: 'store-era'; era: number; previous: number}
	| {kind: 'store-era-ignored'; text: string; current: number | undefined}
	| {kind: 'store-regained'; feed: string; awayMs: number; revision: number}
	| {kind: 'store-history-lost'; feed: string; revision: number}
	| {kind: 'member'; change: string; member: string; region: string; ageMs: number}
	| {
			kind: 'snapshot-pulled';
			peer: string;
			configVersion: number;
			upstreamRevision: number;
			era: number | undefined;
	  }
	| {kind: 'snapshot-pull-failed'; peer: string; detail: string}
	| {kind: 'endpoint-failed'; path: string; detail: string}
	/** A listening server goes on after an error, such as an accept that fails. */
	| {kind: 'server-error'; port: string; detail: string; errors: number}
	| {kind: 'datagram-rejected'; peer: string; detail: string}
	| {
			kind: 'connections-closed';
			port: string;
			reason: string;
			connections: number;
			unanswered: number;
	  }
	| {
			/** Bodies, answers or heads gave way to others. */
			kind: 'gave-way';
			what: 'body' | 'answer' | 'head';
			count: number;
			bytes: number;
			heldBytes: number;
			limitBytes: number;
	  }
	| {
			kind: 'limits-changed';
			version: number;
			headerBytes: number;
			bodyBytes: number;
			headerTimeoutMs: number;
			idleMs: number;
	  };

export type GatewayEvent = RequestEvent | StateEvent;

/** Sink of events; it never blocks and never throws. */
export type EventLog = {
	note(event: GatewayEvent): void;
};
