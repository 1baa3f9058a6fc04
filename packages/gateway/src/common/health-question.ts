/** Asks an upstream for its health, to learn whether it is cold. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as upstreamEntry from './upstream-entry.js';
import type * as upstreamTransport from './upstream-transport.js';
import type * as wireFormat from './wire-format.js';

export type HealthAnswer =
	| {kind: 'warm'}
	| {kind: 'cold'; coldLeftMs: number}
	/** `isRefused`: no connection could be opened. */
	| {kind: 'unknown'; detail: string; isRefused: boolean};

export type HealthQuestionOptions = {
	clock: clock.Clock;
	transport: upstreamTransport.UpstreamTransport;
	wire: wireFormat.WireFormat;
};

const answerTimeoutMs = 300;

const okStatus = 200;

const readAnswer = (id: string, status: number, health: wireFormat.HealthFacts): HealthAnswer => {
	if (health.upstreamId !== undefined && health.upstreamId !== id) {
		return {kind: 'unknown', detail: `answered by ${health.upstreamId}`, isRefused: false};
	}

	if (health.coldMs === 'unusable') {
		return {kind: 'unknown', detail: 'an unusable cold time', isRefused: false};
	}

	if (health.coldMs > 0) {
		return {kind: 'cold', coldLeftMs: health.coldMs};
	}

	// A full upstream rejects the question like any request, and says nothing of itself.
	return status === okStatus
		? {kind: 'warm'}
		: {kind: 'unknown', detail: `status ${status}`, isRefused: false};
};

/** Calls back once: with the head of the answer, or when there is none in time. */
export const askHealth = (
	{clock, transport, wire}: HealthQuestionOptions,
	{id, address}: Pick<upstreamEntry.UpstreamEntry, 'id' | 'address'>,
	callback: (answer: HealthAnswer) => void,
): void => {
	let isOver = false;
	const end = (answer: HealthAnswer) => {
		if (!isOver) {
			isOver = true;
			callback(answer);
		}
	};

	// Also ends an answer whose body does not end.
	const timer = clock.setTimer(() => {
		exchange?.cancel();
		end({kind: 'unknown', detail: 'no health answer', isRefused: false});
	}, answerTimeoutMs);
	const exchange: upstreamTransport.Exchange | undefined = transport.send(
		{
			address,
			method: 'GET',
			path: wire.healthPath,
			headers: ['host', address],
			needsRecentConnection: true,
		},
		{
			onSent: () => undefined,
			onHead(status, headers) {
				end(readAnswer(id, status, wire.readHealth(status, headers)));
			},
			onData: () => undefined,
			onEnd() {
				timer.dispose();
			},
			onFailure({detail, mayHaveBeenSent, isLocal}) {
				timer.dispose();
				end({kind: 'unknown', detail, isRefused: !mayHaveBeenSent && isLocal !== true});
			},
		},
	);
};
