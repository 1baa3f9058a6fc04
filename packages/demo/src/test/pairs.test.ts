// Guards at-most-once execution, true refusals and whole answers when a second fault strikes
// while the first one is being dealt with, at every pair of steps in order.
import * as tap from 'tap';
import * as cell from './matrix/cell.js';
import * as faults from './matrix/faults.js';
import * as matrix from './matrix/matrix.js';

type Step = (typeof cell.steps)[number];

type Pair = {
	kind: cell.Kind;
	first: string;
	second: string;
	/** The second fault strikes the upstream that took over. */
	isAtOtherUpstream?: boolean;
	/** The second fault strikes at the step of the first only. */
	isAtSameStep?: boolean;
	/** Neither fault may cost the caller its answer. */
	isHarmless?: boolean;
};

const pairs: Pair[] = [
	{kind: 'order', first: 'entry daemon pauses', second: 'caller tries again elsewhere'},
	{
		kind: 'order',
		first: 'entry daemon pauses',
		second: faults.retryDuringPause.name,
		isAtSameStep: true,
	},
	{kind: 'order', first: 'entry daemon crashes', second: 'witness crashes'},
	{kind: 'order', first: 'entry daemon pauses', second: 'witness crashes'},
	{
		kind: 'order',
		first: 'upstream answers late',
		second: 'caller tries again elsewhere',
		isHarmless: true,
	},
	{
		kind: 'order',
		first: 'entry daemon stops as planned',
		second: 'caller tries again elsewhere',
		isHarmless: true,
	},
	{kind: 'order', first: 'upstream resets', second: 'entry daemon crashes'},
	{kind: 'order', first: 'store down', second: 'entry daemon crashes'},
	{kind: 'stream', first: 'upstream dies', second: 'upstream resets', isAtOtherUpstream: true},
	{
		kind: 'stream',
		first: 'upstream hangs',
		second: 'link between regions cut',
		isHarmless: true,
	},
	{
		kind: 'stream',
		first: 'upstream dies',
		second: 'entry daemon stops as planned',
		isHarmless: true,
	},
];

const indexOf = (step: Step): number => cell.steps.indexOf(step);

/** Last step of an order that is reached after a first fault that ends it at `step`. */
const lastStepReached = (first: string, step: Step): Step | undefined => {
	switch (first) {
		case 'entry daemon crashes': {
			// The queue is a time, not a place; an upstream reads on what it has received.
			const last: Partial<Record<Step, Step>> = {
				'before-admission': 'queued',
				'sent-in-part': 'sent-in-full',
			};
			return last[step] ?? step;
		}

		case 'upstream resets': {
			// Before dispatch the reset is only prepared; it happens at the next step.
			return step === 'before-dispatch' ? 'sent-in-part' : step;
		}

		default: {
			return undefined;
		}
	}
};

/** Why a second fault at another upstream cannot occur. */
const impossibleElsewhere = (step: Step, at: Step): string | undefined => {
	if (step === 'after-answer' || at === 'after-answer') {
		return 'no other upstream is asked after the answer';
	}

	if (indexOf(at) < indexOf('before-dispatch')) {
		return 'the request has no other upstream yet';
	}

	const isResumedLater =
		(at === 'first-token' || at === 'mid-stream') && indexOf(at) <= indexOf(step);
	return isResumedLater ? 'the other upstream resumes after this token' : undefined;
};

/** Why the second fault cannot strike at `at` after a first one at `step`. */
const impossible = (pair: Pair, step: Step, at: cell.SecondFault['at']): string | undefined => {
	const {first, isAtOtherUpstream, isAtSameStep} = pair;
	if (isAtSameStep && at !== step) {
		return 'later steps follow the pause';
	}

	const last = lastStepReached(first, step);
	if (at === 'first-retry') {
		return last === undefined || step === 'after-answer'
			? 'the first try gets its answer'
			: undefined;
	}

	if (isAtOtherUpstream) {
		return impossibleElsewhere(step, at);
	}

	if (indexOf(at) < indexOf(step)) {
		return 'the step is over';
	}

	const isOver = last !== undefined && indexOf(at) > indexOf(last) && at !== 'after-answer';
	return isOver ? 'the first fault has ended the request' : undefined;
};

const definePair = (pair: Pair): void => {
	const {kind, isAtOtherUpstream} = pair;
	const first = faults.faultNamed(pair.first);
	const second = faults.faultNamed(pair.second);
	tap.t.test(`${kind}: ${first.name}, then ${second.name}`, async (t) => {
		for (const step of cell.steps) {
			const reason = matrix.impossible(kind, first, step);
			if (reason !== undefined) {
				t.comment(`${step}: cannot occur, ${reason}`);
				continue;
			}

			// Only requests under a key are tried again.
			const moments = kind === 'order' ? [...cell.steps, 'first-retry' as const] : cell.steps;
			for (const at of moments) {
				const secondReason = impossible(pair, step, at);
				if (secondReason !== undefined) {
					t.comment(`${step}, ${at}: cannot occur, ${secondReason}`);
					continue;
				}

				await t.test(`${step}, ${at}`, async (t) => {
					const result = await cell.runCell(kind, first, step, {
						fault: second,
						at,
						isAtOtherUpstream,
					});
					t.ok(result.isSecondReached, 'the second fault struck');
					const isWholeExpected = pair.isHarmless ?? step === 'after-answer';
					matrix.checkCell(t, kind, result, isWholeExpected);
				});
			}
		}
	});
};

for (const pair of pairs) {
	definePair(pair);
}
