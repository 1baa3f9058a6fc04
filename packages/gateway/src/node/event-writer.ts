/**
 * Writes events as JSON lines and counts them. The stream buffers in memory and
 * drops lines when its reader is too slow; ordinary successes are sampled past a
 * rate, with a count of what was left out.
 */
import * as metrics from '@hawthornfront/base/node/metrics.js';
import * as pino from 'pino';
import type * as gatewayEvent from '../common/gateway-event.js';

/** Lines on ordinary requests per second; beyond it they are only counted. */
const maxRequestLinesPerS = 200;
/** Lines on refusals, failures and changes of belief per second. */
const maxImportantLinesPerS = 400;
const flushEveryMs = 500;
const bufferBytes = 8192;
/** Bytes held for a slow reader; what comes on top is dropped. */
const maxBufferedBytes = 1_048_576;
const latencyBucketsMs = [10, 25, 50, 100, 200, 300, 500, 800, 1000, 2000, 4000, 8000, 16_000];

const isOrdinary = (event: gatewayEvent.GatewayEvent): boolean =>
	event.kind === 'request-sent' ||
	event.kind === 'request-relayed' ||
	(event.kind === 'request-ended' && event.outcome === 'answered' && event.status < 400);

export type EventWriter = gatewayEvent.EventLog & {
	/** Writes what is buffered; blocks, for use at the end only. */
	flush(): void;
};

/** Creates the writer of a process. */
export const createEventWriter = (
	registry: metrics.Registry,
	nowMs: () => number,
	fields: Record<string, string>,
): EventWriter => {
	const destination = pino.destination({
		fd: 1,
		sync: false,
		minLength: bufferBytes,
		maxLength: maxBufferedBytes,
		periodicFlush: flushEveryMs,
	});
	// A closed reader must not end the process.
	destination.on('error', () => undefined);
	const logger = pino.pino(
		{
			level: 'info',
			base: fields,
			timestamp: pino.stdTimeFunctions.epochTime,
		},
		destination,
	);
	const events = metrics.createCounter(registry, 'hawthornfront_events_total', 'Events', ['kind']);
	const omitted = metrics.createCounter(
		registry,
		'hawthornfront_log_lines_omitted_total',
		'Lines left out of the log',
		['importance'],
	);
	const answers = metrics.createCounter(
		registry,
		'hawthornfront_requests_total',
		'Requests by outcome',
		['service', 'outcome'],
	);
	const firstMs = metrics.createHistogram(
		registry,
		'hawthornfront_first_event_ms',
		'Time to the first event or the answer',
		['service'],
		latencyBucketsMs,
	);
	const totalMs = metrics.createHistogram(
		registry,
		'hawthornfront_request_ms',
		'Time to the end of the answer',
		['service'],
		latencyBucketsMs,
	);
	let windowStartMs = nowMs();
	let ordinaryLines = 0;
	let importantLines = 0;
	let omittedLines = 0;

	const startWindow = () => {
		if (omittedLines > 0) {
			logger.warn({kind: 'log-lines-omitted', lines: omittedLines});
		}

		windowStartMs = nowMs();
		ordinaryLines = 0;
		importantLines = 0;
		omittedLines = 0;
	};

	const mayWrite = (event: gatewayEvent.GatewayEvent): boolean => {
		if (nowMs() - windowStartMs >= 1000) {
			startWindow();
		}

		const hasRoom = isOrdinary(event)
			? ordinaryLines++ < maxRequestLinesPerS
			: importantLines++ < maxImportantLinesPerS;
		if (!hasRoom) {
			omittedLines++;
			omitted.inc({importance: isOrdinary(event) ? 'ordinary' : 'important'});
		}

		return hasRoom;
	};

	return {
		note(event) {
			events.inc({kind: event.kind});
			if (event.kind === 'request-ended') {
				answers.inc({service: event.service, outcome: event.outcome});
				totalMs.observe({service: event.service}, event.totalMs);
				if (event.firstMs >= 0) {
					firstMs.observe({service: event.service}, event.firstMs);
				}
			}

			if (mayWrite(event)) {
				logger.info(event);
			}
		},
		flush() {
			destination.flushSync();
		},
	};
};
