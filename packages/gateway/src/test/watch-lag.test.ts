// Evidence of peers that a watch of the store delivers nothing.
import * as tap from 'tap';
import * as storePosition from '../common/store-position.js';
import * as watchLag from '../common/watch-lag.js';

const create = () => {
	const state = {nowMs: 0};
	return {state, lag: watchLag.createWatchLag(() => state.nowMs)};
};

tap.t.test('a change that a peer keeps knowing alone is reported, at intervals', (t) => {
	const {state, lag} = create();
	const times: number[] = [];
	for (; state.nowMs < 5000; state.nowMs += 100) {
		if (lag.note(20 + state.nowMs, 10) > 0) {
			times.push(state.nowMs);
		}
	}

	t.same(times, [600, 2600, 4600]);
	t.end();
});

tap.t.test('a watch that follows its peers with a delay is not reported', (t) => {
	const {state, lag} = create();
	for (; state.nowMs < 5000; state.nowMs += 100) {
		t.equal(lag.note(1000 + state.nowMs, 1000 + state.nowMs - 400), 0);
	}

	t.end();
});

tap.t.test('a peer that knows an earlier era is not ahead', (t) => {
	const {state, lag} = create();
	const answered = storePosition.create(2, 5);
	t.equal(lag.note(storePosition.create(1, 90), answered), 0);
	state.nowMs = 1000;
	t.equal(lag.note(storePosition.create(1, 91), answered), 0);
	t.end();
});
