/**
 * What the server for callers and the one for other daemons do differently. A request from
 * another daemon has been within the limits for callers there, before that daemon added
 * headers of its own, and under the configuration that was in force then.
 */
import type * as answerClassifier from '../common/answer-classifier.js';
import * as headLimits from '../common/head-limits.js';
import * as relayHeaders from '../common/relay-headers.js';
import type * as routeConfig from '../common/route-config.js';
import type * as wireFormat from '../common/wire-format.js';

const peerHeadLimitBytes = headLimits.callerHeadLimitBytes + headLimits.maxRelayedExtraBytes;

export abstract class ServerPort {
	/** Longest head that is read, with its request line. */
	abstract readonly headLimitBytes: number;
	/** Limits until others are applied. */
	abstract readonly initialLimits: routeConfig.CallerLimits;

	/** Headers that tell the client whether a refused request has run. */
	abstract refusalHeaders(outcome: answerClassifier.Outcome, reason: string): wireFormat.Headers;
}

/** Port for callers, whose limits come with the configuration. */
export class CallerPort extends ServerPort {
	override readonly headLimitBytes = headLimits.callerHeadLimitBytes;
	override readonly initialLimits = {
		headerBytes: headLimits.callerHeadLimitBytes,
		bodyBytes: 4_194_304,
		headerTimeoutMs: 60_000,
		idleMs: 15_000,
	};

	override refusalHeaders(_outcome: answerClassifier.Outcome, _reason: string): wireFormat.Headers {
		return {};
	}
}

/** Port for other daemons. Its limits do not change with the configuration. */
export class PeerPort extends ServerPort {
	override readonly headLimitBytes = peerHeadLimitBytes;
	override readonly initialLimits = {
		headerBytes: peerHeadLimitBytes,
		// The memory of all bodies is bounded.
		bodyBytes: Number.POSITIVE_INFINITY,
		headerTimeoutMs: 60_000,
		idleMs: 15_000,
	};

	/** Without these, the relaying daemon would take the refusal for the answer of an upstream. */
	override refusalHeaders(outcome: answerClassifier.Outcome, reason: string): wireFormat.Headers {
		return {
			[relayHeaders.outcomeHeader]: outcome,
			[relayHeaders.reasonHeader]: reason,
			...(outcome === 'not-run' ? {[relayHeaders.upstreamsUsedHeader]: '0'} : {}),
		};
	}
}
