/** Fake transport and caller for the engine's tests; the test answers each exchange. */
import * as event from '@hawthornfront/base/common/event.js';
import * as upstreamTransport from '../common/upstream-transport.js';
import * as wireFormat from '../common/wire-format.js';

export type SentRequest = {
	request: upstreamTransport.TransportRequest;
	listener: upstreamTransport.TransportListener;
	isCancelled: boolean;
};

export class FakeTransport extends upstreamTransport.UpstreamTransport {
	readonly sent: SentRequest[] = [];
	/** Probes that wait for their result. */
	readonly probes: Array<(result: upstreamTransport.ProbeResult) => void> = [];
	/** Reports each request as sent at once; otherwise the test calls `onSent`. */
	shouldConnectAtOnce = true;

	get last(): SentRequest {
		return this.sent.at(-1)!;
	}

	override send(
		request: upstreamTransport.TransportRequest,
		listener: upstreamTransport.TransportListener,
	): upstreamTransport.Exchange {
		const sent: SentRequest = {request, listener, isCancelled: false};
		this.sent.push(sent);
		if (this.shouldConnectAtOnce) {
			listener.onSent();
		}

		return {
			cancel() {
				sent.isCancelled = true;
			},
			pause() {
				// The fake has no flow control.
			},
			resume() {
				// The fake has no flow control.
			},
		};
	}

	override probe(
		_address: string,
		callback: (result: upstreamTransport.ProbeResult) => void,
	): void {
		this.probes.push(callback);
	}
}

export class FakeReply extends upstreamTransport.CallerReply {
	status = 0;
	headers: wireFormat.Headers = {};
	text = '';
	ending: 'open' | 'complete' | 'broken' = 'open';
	/** Whether the caller reads; {@link read} sets it again. */
	isReading = true;
	readonly #didDrain = event.createEmitter<void>();

	override get onDidDrain(): event.Event<void> {
		return this.#didDrain.event;
	}

	/** Resumes reading. */
	read(): void {
		this.isReading = true;
		this.#didDrain.fire();
	}

	override start(status: number, headers: wireFormat.Headers): void {
		this.status = status;
		this.headers = headers;
	}

	override write(bytes: Uint8Array): boolean {
		this.text += new TextDecoder().decode(bytes);
		return this.isReading;
	}

	override end(): void {
		this.ending = 'complete';
	}

	override abort(): void {
		this.ending = 'broken';
	}
}

/** Wire format with its own header names, so that the engine's tests depend on no platform. */
export class FakeWire extends wireFormat.WireFormat {
	override readRequest(_headers: wireFormat.Headers): wireFormat.RequestFacts {
		throw new Error('the tests pass request facts');
	}

	/** Reads headers `part`, the last of which is the request's own. */
	override readSharedPartIds(rawHeaders: readonly string[]): string[] {
		return rawHeaders.filter((_, index) => rawHeaders[index - 1] === 'part').slice(0, -1);
	}

	override takeKey(rawHeaders: readonly string[]): wireFormat.KeyReading {
		const [name, key] = rawHeaders;
		return name === 'key' && key !== undefined
			? {key: {kind: 'digest', digest: `digest of ${key}`}, otherHeaders: rawHeaders.slice(2)}
			: {key: {kind: 'unusable', reason: 'no-key'}, otherHeaders: rawHeaders};
	}

	override dispatchHeaders(_raw: readonly string[], facts: wireFormat.DispatchFacts): string[] {
		return [
			'to',
			facts.upstreamId,
			'left',
			String(facts.remainingMs),
			'after',
			facts.resumeAfterEventId ?? '',
			...(facts.priority === undefined ? [] : ['priority', String(facts.priority)]),
			...(facts.team === undefined ? [] : ['team', facts.team]),
		];
	}

	override relayHeaders(
		_raw: readonly string[],
		remainingMs: number,
		resumeAfterEventId?: string,
	): string[] {
		return ['left', String(remainingMs), 'after', resumeAfterEventId ?? ''];
	}

	override readonly healthPath = '/health';

	override readHealth(_status: number, headers: wireFormat.Headers): wireFormat.HealthFacts {
		return {
			coldMs: headers.cold === undefined ? 0 : Number(headers.cold) || 'unusable',
			upstreamId: headers.id as string | undefined,
		};
	}

	override readAnswer(status: number, headers: wireFormat.Headers): wireFormat.AnswerFacts {
		return {
			isNotRun: headers.refused !== undefined,
			isWrongUpstream: status === 421,
			attemptId: headers.attempt as string | undefined,
			isSigned: headers.signed !== undefined,
			pause:
				typeof headers.pause === 'string'
					? {kind: 'pause', pauseMs: Number(headers.pause) * 1000}
					: undefined,
			isLeaving: headers.leaving !== undefined,
			isEncoded: headers.encoded !== undefined,
			requestsPerS: headers.limit === undefined ? undefined : Number(headers.limit),
		};
	}

	override answerHeaders(headers: wireFormat.Headers): wireFormat.Headers {
		return headers;
	}
}
