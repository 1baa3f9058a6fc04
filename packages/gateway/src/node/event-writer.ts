/**
 * Writes events as JSON lines and counts them. Lines above a rate limit are omitted, and
 * lines are dropped when their reader is too slow; both are counted in the log.
 */
import * as metrics from '@hawthornfront/base/node/metrics.js';
import * as pino from 'pino';
import type * as gatewayEvent from '../common/gateway-event.js';
import * as lineOutput from './line-output.js';

/** Lines per second for ordinary requests; further ones are only counted. */
const maxRequestLinesPerS = 200;
/** Lines per second for refusals, failures and changes of the cluster state. */
const maxImportantLinesPerS = 400;
/** Services with metrics of their own; configurations may name others all day. */
const maxServiceLabels = 200;
/** Label of further services. */
const otherServices = 'other';
/** Reasons of refusals that are counted apart; the others are failures of an upstream, in its words. */
const countedReasons: ReadonlySet<string> = new Set([
	'overloaded',
	'no-upstream',
	'paused',
	'deadline',
	'quarantined-prompt',
]);
const otherReasons = 'failure';
/** Ranks that are counted apart; the configuration may name any number. */
const countedRanks: ReadonlySet<number> = new Set([0, 1, 2, 3, 4, 5, 6, 7, 8, 9]);
const otherRanks = 'other';
const standardOutput = 1;
const latencyBucketsMs = [10, 25, 50, 100, 200, 300, 500, 800, 1000, 2000, 4000, 8000, 16_000];

const isOrdinary = (event: gatewayEvent.GatewayEvent): boolean =>
	event.kind === 'request-sent' ||
	event.kind === 'request-relayed' ||
	// Anyone can cause these, so they must not use up the lines of the others.
	event.kind === 'key-refused' ||
	event.kind === 'relayed-by-later-config' ||
	(event.kind === 'request-ended' && event.outcome === 'answered' && event.status < 400);

/** Events at the end of a process, which no limit may hide. */
const isLast = (event: gatewayEvent.GatewayEvent): boolean =>
	event.kind === 'start-failed' ||
	event.kind === 'start-cancelled' ||
	event.kind === 'stop-failed' ||
	event.kind === 'process-failed' ||
	event.kind === 'process-ended';

export type EventWriter = gatewayEvent.EventLog & {
	/** Writes the buffered lines, unless the reader is too slow; call it before the process ends. */
	flush(): void;
	/** Writes the buffered lines synchronously, for a process whose event loop does not run again. */
	flushNow(): void;
};

/** Creates the event writer of a process. */
export const createEventWriter = (
	registry: metrics.Registry,
	nowMs: () => number,
	fields: Record<string, string>,
): EventWriter => {
	const output = lineOutput.createLineOutput(standardOutput);
	const logger = pino.pino(
		{
			level: 'info',
			base: fields,
			timestamp: pino.stdTimeFunctions.epochTime,
		},
		output,
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
	const failedAttempts = metrics.createCounter(
		registry,
		'hawthornfront_failed_attempts_total',
		'Attempts that did not answer the caller, by step, and whether for the silence of the peer',
		['step', 'stalled', 'next'],
	);
	const refusals = metrics.createCounter(
		registry,
		'hawthornfront_refused_requests_total',
		'Requests that were refused, by reason, cause of a refusal for overload, and rank',
		['reason', 'cause', 'rank'],
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
	const serviceLabels = new Set<string>();
	let windowStartMs = nowMs();
	let ordinaryLines = 0;
	let importantLines = 0;
	let omittedLines = 0;

	const serviceLabel = (service: string): string => {
		if (serviceLabels.size < maxServiceLabels) {
			serviceLabels.add(service);
		}

		return serviceLabels.has(service) ? service : otherServices;
	};

	const startWindow = () => {
		const unread = output.takeDropped();
		if (unread > 0) {
			omitted.inc({importance: 'unread'}, unread);
		}

		if (omittedLines + unread > 0) {
			logger.warn({kind: 'log-lines-omitted', lines: omittedLines, unread});
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
				const service = serviceLabel(event.service);
				answers.inc({service, outcome: event.outcome});
				totalMs.observe({service}, event.totalMs);
				if (event.firstMs >= 0) {
					firstMs.observe({service}, event.firstMs);
				}
			}

			if (event.kind === 'request-refused') {
				refusals.inc({
					reason: countedReasons.has(event.reason) ? event.reason : otherReasons,
					cause: event.shedding?.cause ?? '',
					rank: countedRanks.has(Math.floor(event.rank))
						? String(Math.floor(event.rank))
						: otherRanks,
				});
			}

			if (event.kind === 'request-attempt-failed') {
				const stalled = event.stallLimitMs === undefined ? 'no' : 'yes';
				failedAttempts.inc({step: event.step, stalled, next: event.next});
			}

			if (isLast(event) || mayWrite(event)) {
				logger.info(event);
			}
		},
		flush() {
			output.flush();
		},
		flushNow() {
			output.flushNow();
		},
	};
};
