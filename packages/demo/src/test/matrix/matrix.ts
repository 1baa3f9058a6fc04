/** The fault matrix of one kind of request: every fault at every step, with what must hold in each cell. */
import type * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import type * as tap from 'tap';
import type * as session from '../world/session.js';
import * as cell from './cell.js';
import * as faults from './faults.js';

export type Test = Pick<typeof tap.t, 'test' | 'ok' | 'equal' | 'comment'>;

/** Why a cell cannot occur; undefined for cells that can. */
export const impossible = (
	kind: cell.Kind,
	fault: faults.Fault,
	step: gatewayError.RequestStep,
): string | undefined => {
	const hasNoUpstreamYet = step === 'before-admission' || step === 'queued';
	if (hasNoUpstreamYet && fault.name.startsWith('upstream ')) {
		return 'the request has no upstream yet';
	}

	if (kind === 'crossing' && (step === 'before-dispatch' || step === 'queued')) {
		return 'the request waits and is dispatched in the other region';
	}

	return undefined;
};

/** Faults after which the request of a caller that stays must still get its whole answer. */
const mustBeWhole = (
	kind: cell.Kind,
	fault: faults.Fault,
	step: gatewayError.RequestStep,
): boolean => {
	if (step === 'after-answer' || fault.name === 'caller tries again elsewhere') {
		return true;
	}

	if (kind === 'crossing') {
		return fault.name.startsWith('store') || fault.name === 'catalogue edited meanwhile';
	}

	if (fault.isHarmlessAtHome) {
		// A stopping daemon refuses new work without a key.
		const isNew = step === 'before-admission' && kind !== 'order';
		return !(fault.name === 'entry daemon stops as planned' && isNew);
	}

	// Another upstream takes over what is idempotent.
	return kind !== 'order' && fault.name.startsWith('upstream ');
};

const checkVerdict = (t: Test, result: cell.CellResult, verdict: session.Verdict): void => {
	if (verdict.kind === 'whole') {
		t.equal(verdict.text, result.wholeText, 'a clean end means the whole answer');
	}
};

/** Checks what must hold in every cell; `isWholeExpected` where the caller must get its answer. */
export const checkCell = (
	t: Test,
	kind: cell.Kind,
	result: cell.CellResult,
	isWholeExpected: boolean,
): void => {
	t.ok(result.isReached, 'the step was reached');
	const verdicts = [result.verdict, ...(result.copy ? [result.copy] : []), ...result.laterVerdicts];
	for (const verdict of verdicts) {
		checkVerdict(t, result, verdict);
	}

	if (isWholeExpected) {
		t.equal(result.verdict.kind, 'whole', 'the caller got its answer');
	}

	if (kind === 'order') {
		t.ok(result.executions <= 1, 'at most one execution');
		if (verdicts.some((verdict) => verdict.kind === 'whole')) {
			t.equal(result.executions, 1, 'an answered order ran');
		}

		if (result.executionsWhenToldNotRun !== undefined) {
			t.equal(result.executionsWhenToldNotRun, 0, 'not-run was true when it was said');
			t.equal(result.executions, 0, 'not-run stays true');
		}
	} else if (result.executionsWhenToldNotRun !== undefined && verdicts.length === 1) {
		t.equal(result.executions, 0, 'not-run was true');
	}

	t.equal(result.leftInFlight, 0, 'nothing is left in flight');
};

/** Defines one test a fault, with one subtest a step. */
export const defineMatrix = (t: Test, kind: cell.Kind): void => {
	for (const fault of faults.faults) {
		t.test(`${kind}: ${fault.name}`, async (t) => {
			for (const step of cell.steps) {
				const reason = impossible(kind, fault, step);
				if (reason !== undefined) {
					t.comment(`${step}: cannot occur, ${reason}`);
					continue;
				}

				await t.test(step, async (t) => {
					const result = await cell.runCell(kind, fault, step);
					checkCell(t, kind, result, mustBeWhole(kind, fault, step));
				});
			}
		});
	}
};
