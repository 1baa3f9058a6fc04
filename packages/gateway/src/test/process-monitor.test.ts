// Guards against a process that nears the limit of its memory without a log line (issue 39).
import * as metrics from '@hawthornfront/base/node/metrics.js';
import * as tap from 'tap';
import type * as gatewayEvent from '../common/gateway-event.js';
import * as processMonitor from '../node/process-monitor.js';

const mb = 1_048_576;

const createMonitor = () => {
	const events: gatewayEvent.GatewayEvent[] = [];
	const state = {
		nowMs: 0,
		use: {
			residentBytes: 60 * mb,
			heapUsedBytes: 20 * mb,
			heapLimitBytes: 160 * mb,
			externalBytes: mb,
		},
	};
	const registry = metrics.createRegistry({});
	const monitor = processMonitor.createProcessMonitor({
		nowMs: () => state.nowMs,
		registry,
		log: {
			note(event) {
				events.push(event);
			},
		},
		memoryLimitMb: 350,
		held: () => ({requests: 7}),
		readMemoryUse: () => state.use,
	});
	return {
		events,
		registry,
		sample(change: Partial<processMonitor.MemoryUse>, afterMs = 1000) {
			state.use = {...state.use, ...change};
			state.nowMs += afterMs;
			monitor.sample(1000);
		},
	};
};

tap.t.test('resident memory near the limit is logged with what is held', async (t) => {
	const {events, sample} = createMonitor();
	sample({residentBytes: 200 * mb});
	t.strictSame(events, []);
	sample({residentBytes: 270 * mb});
	sample({residentBytes: 275 * mb});
	t.equal(events.length, 1, 'one line for each change of the level');
	t.match(events[0], {
		kind: 'memory',
		level: 'high',
		residentMb: 270,
		limitMb: 350,
		held: {requests: 7},
	});
	sample({residentBytes: 320 * mb});
	t.match(events[1], {level: 'critical'});
	sample({residentBytes: 100 * mb});
	t.match(events[2], {level: 'normal'});
});

tap.t.test('a heap near its limit is logged', async (t) => {
	const {events, sample} = createMonitor();
	sample({heapUsedBytes: 150 * mb});
	t.match(events, [{kind: 'memory', level: 'critical', heapUsedMb: 150, heapLimitMb: 160}]);
});

tap.t.test('a level does not change back and forth at its start', async (t) => {
	const {events, sample} = createMonitor();
	for (const residentBytes of [263, 262, 263, 261, 264]) {
		sample({residentBytes: residentBytes * mb});
	}

	t.equal(events.length, 1);
});

tap.t.test('a long step of the event loop is logged and measured', async (t) => {
	const {events, sample, registry} = createMonitor();
	sample({}, 1400);
	t.strictSame(events, []);
	sample({}, 2600);
	t.match(events, [{kind: 'loop-late', lateMs: 1600}]);
	t.match(await registry.metrics(), /hawthornfront_loop_late_ms_sum 2000/u);
});

tap.t.test('memory, its limits and what is held are metrics', async (t) => {
	const {registry} = createMonitor();
	const text = await registry.metrics();
	t.match(text, `hawthornfront_memory_limit_bytes ${350 * mb}`);
	t.match(text, `process_heap_limit_bytes ${160 * mb}`);
	t.match(text, 'hawthornfront_held{what="requests"} 7');
});

tap.t.test('the memory of this process is read', async (t) => {
	const use = processMonitor.readMemoryUse();
	t.ok(use.residentBytes > 10 * mb);
	t.ok(use.heapUsedBytes < use.heapLimitBytes);
});
