// Daemons without processor time: requests waited unread for seconds and were held past their time limits.
import * as random from '@hawthornfront/base/common/random.js';
import * as tap from 'tap';
import type * as gatewayEvent from '../common/gateway-event.js';
import * as processorPressure from '../common/processor-pressure.js';

const start = () => {
	const events: gatewayEvent.GatewayEvent[] = [];
	const subject = processorPressure.createProcessorPressure({
		random: random.createRandom(5).next,
		log: {
			note(event) {
				events.push(event);
			},
		},
	});
	const note = (busyShare: number, intervals: number) => {
		for (let count = 0; count < intervals; count++) {
			subject.noteInterval(busyShare);
		}
	};

	const refusedOf = (rank: number) => {
		let refused = 0;
		for (let count = 0; count < 1000; count++) {
			refused += subject.mustRefuse(rank) ? 1 : 0;
		}

		return refused;
	};

	return {subject, events, note, refusedOf};
};

tap.t.test('a daemon with idle time refuses nothing', async (t) => {
	const {note, refusedOf, events} = start();
	note(0.9, 100);
	t.equal(refusedOf(3), 0);
	note(1, 3);
	t.equal(refusedOf(3), 0, 'a short burst');
	note(0.9, 1);
	note(1, 3);
	t.equal(refusedOf(3), 0, 'another one');
	t.same(events, []);
});

tap.t.test('less urgent requests are refused first, and the most urgent last', async (t) => {
	const {note, refusedOf, events} = start();
	note(1, 6);
	t.equal(refusedOf(0), 0);
	t.equal(refusedOf(0.66), 0, 'a less urgent route of the most urgent team');
	t.ok(refusedOf(1) > 500);
	note(1, 100);
	t.equal(refusedOf(1), 1000);
	t.ok(refusedOf(0) < 900, 'some are always served');
	t.match(events, [{kind: 'processor-pressure', isFull: true}]);
});

tap.t.test('it refuses less when its event loop has idle time again', async (t) => {
	const {subject, note, refusedOf, events} = start();
	note(1, 9);
	const {share} = subject;
	note(0.96, 5);
	t.equal(subject.share, share, 'the idle time that is left is needed');
	note(0.7, 2);
	t.ok(subject.share < share && subject.share > share / 2);
	note(0.7, 50);
	t.equal(refusedOf(3), 0);
	t.match(events, [{isFull: true}, {isFull: false}]);
});

tap.t.test('when the load has ended, it soon refuses nothing', async (t) => {
	const {note, refusedOf} = start();
	note(1, 100);
	note(0.2, 5);
	t.equal(refusedOf(3), 0);
});

/**
 * Offers requests at a multiple of what a daemon can serve; returns the longest wait of a request
 * that was read in the last quarter, and the share of the urgent ones that were served in time.
 */
const play = (load: number, hasPressure: boolean) => {
	const {subject} = start();
	const numbers = random.createRandom(11);
	const intervalMs = 250;
	const capacity = 50;
	const refusalCost = 0.2;
	const inTimeMs = 1000;
	const intervals = 240;
	const queue: Array<{atMs: number; rank: number}> = [];
	const seen = {longestMs: 0, urgent: 0, urgentInTime: 0};
	let carried = 0;
	for (let interval = 0; interval < intervals; interval++) {
		const nowMs = interval * intervalMs;
		for (let count = 0; count < load * capacity; count++) {
			queue.push({atMs: nowMs, rank: numbers.integer(0, 2)});
		}

		let left = capacity - carried;
		const isLast = interval >= (intervals * 3) / 4;
		while (left > 0 && queue.length > 0) {
			const {atMs, rank} = queue.shift()!;
			const isRefused = hasPressure && subject.mustRefuse(rank);
			left -= isRefused ? refusalCost : 1;
			if (isLast) {
				seen.longestMs = Math.max(seen.longestMs, nowMs - atMs);
				seen.urgent += rank === 0 ? 1 : 0;
				seen.urgentInTime += rank === 0 && !isRefused && nowMs - atMs < inTimeMs ? 1 : 0;
			}
		}

		carried = Math.max(0, -left);
		subject.noteInterval(1 - Math.max(0, left) / capacity);
	}

	return {longestMs: seen.longestMs, urgentInTime: seen.urgentInTime / seen.urgent};
};

tap.t.test(
	'a daemon with twice the load that it can serve keeps its urgent requests',
	async (t) => {
		const without = play(2, false);
		t.ok(without.longestMs > 10_000, `${without.longestMs} ms`);
		t.equal(without.urgentInTime, 0);
		const withPressure = play(2, true);
		t.ok(withPressure.longestMs <= 1000, `${withPressure.longestMs} ms`);
		t.ok(withPressure.urgentInTime > 0.9, `${withPressure.urgentInTime}`);
		t.same(play(0.8, true), {longestMs: 0, urgentInTime: 1}, 'a load that it can serve');
	},
);
