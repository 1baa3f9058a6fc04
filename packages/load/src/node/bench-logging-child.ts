/** Takes events of requests at a rate for some seconds, and tells its processor time on standard error. */
import process from 'node:process';
import * as metrics from '@hawthornfront/base/node/metrics.js';
import type * as gatewayEvent from '@hawthornfront/gateway/common/gateway-event.js';
import * as eventWriter from '@hawthornfront/gateway/node/event-writer.js';

const [requestsPerS, mode, seconds] = [
	Number(process.argv[2]),
	process.argv[3],
	Number(process.argv[4]),
];
const tickMs = 10;

const log: gatewayEvent.EventLog =
	mode === 'lines'
		? eventWriter.createEventWriter(metrics.createRegistry({}), () => performance.now(), {
				vm: 'bench',
			})
		: {note: () => undefined};

const noteRequest = (number: number) => {
	const request = `attempt-${number}`;
	log.note({
		kind: 'request-sent',
		request,
		route: 'drafts',
		upstream: 'u1',
		send: 1,
		expectedMs: 120,
		candidates: 12,
		requestsThere: 4,
		heldTokens: 5000,
		remainingMs: 11_900,
	});
	log.note({
		kind: 'request-ended',
		request,
		route: 'drafts',
		service: 'model',
		outcome: 'answered',
		status: 200,
		sends: 1,
		firstMs: 130,
		totalMs: 2400,
		goalMs: 1000,
	});
};

const before = process.cpuUsage();
const startedAtMs = performance.now();
let noted = 0;
const timer = setInterval(() => {
	const elapsedS = (performance.now() - startedAtMs) / 1000;
	while (noted < elapsedS * requestsPerS) {
		noteRequest(noted++);
	}

	if (elapsedS >= seconds) {
		clearInterval(timer);
		const used = process.cpuUsage(before);
		process.stderr.write(String((used.user + used.system) / 1000 / elapsedS));
	}
}, tickMs);
