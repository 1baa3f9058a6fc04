/** Exchange of one request with an upstream or another daemon. */
import type * as event from '@hawthornfront/base/common/event.js';
import type * as wireFormat from './wire-format.js';

export type TransportRequest = {
	/** `host:port`. */
	address: string;
	method: string;
	path: string;
	/** Alternating names and values. */
	headers: string[];
	body?: Uint8Array;
	/** Requires a new or recently used connection, since an idle one may be broken and the request cannot be retried. */
	needsRecentConnection: boolean;
	/** The address is that of another daemon. */
	isRelay?: boolean;
};

export type TransportFailure = {
	/** False when no byte of the request can have left this daemon. */
	mayHaveBeenSent: boolean;
	detail: string;
	/** This process lacks the means for a connection, such as a descriptor; the peer has no part in it. */
	isLocal?: boolean;
};

/** Callbacks of one exchange. After `onEnd`, `onFailure` or a cancel, nothing more is called. */
export type TransportListener = {
	/** The connection is open and the request is written to it. */
	onSent(): void;
	onHead(status: number, headers: wireFormat.Headers): void;
	onData(bytes: Uint8Array): void;
	/**
	 * The answer is complete.
	 *
	 * @param endedBy `connection`: the answer has no length, so the end of the connection is its end
	 */
	onEnd(endedBy?: 'connection'): void;
	onFailure(failure: TransportFailure): void;
};

export type Exchange = {
	/** Ends the exchange and its connection, so that the upstream stops its work. */
	cancel(): void;
	pause(): void;
	resume(): void;
};

/** Result of a probe; `refused`: also if the connection was accepted and ended at once; `unknown`: no response in time. */
export type ProbeResult = 'open' | 'refused' | 'unknown';

export abstract class UpstreamTransport {
	abstract send(request: TransportRequest, listener: TransportListener): Exchange;

	/** Tries to open a connection and closes it without a request. */
	abstract probe(address: string, callback: (result: ProbeResult) => void): void;
}

/** Response to a caller. */
export abstract class CallerReply {
	abstract get onDidDrain(): event.Event<void>;
	abstract start(status: number, headers: wireFormat.Headers): void;
	/** @returns false when the caller reads slowly; `onDidDrain` signals when to continue. */
	abstract write(bytes: Uint8Array): boolean;
	abstract end(): void;
	/** Closes the connection, so that the caller detects an incomplete response. */
	abstract abort(): void;
}
