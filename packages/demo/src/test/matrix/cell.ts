/** Runs one cell of the fault matrix: one kind of request, one fault, one step. */
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import * as session from '../world/session.js';
import * as stepUpstream from '../world/step-upstream.js';
import * as worlds from '../world/world.js';
import type * as faults from './faults.js';

export type Kind = 'stream' | 'crossing' | 'order' | 'look';

/** Steps at which the matrix injects faults. */
export const steps = gatewayError.requestSteps;

const seed = 11;
const text = 'net 7 torn at the ridge';
const blocker = 'blocker';
const blockers = 16;
const queueMs = 100;
const unblockMs = 200;
/** Longer than the deadline of the entries and than any pause, so that nothing is left to happen. */
const aftermathMs = 40_000;
/** For pairs, of which there are many: from the last try or fault, past the deadline of 20 s and any pause. */
const pairAftermathMs = 22_000;
/** For pairs with orders, which never cross regions: entry VMs of a region know each other by then. */
const pairReadyMs = 5000;
const tries = 4;
const retryDelayMs = 1000;

/** A second fault, which strikes after the first one or together with it. */
export type SecondFault = {
	fault: faults.Fault;
	/** A step, or the moment before the first later try. */
	at: gatewayError.RequestStep | 'first-retry';
	/** Strikes at another upstream than the first fault. */
	isAtOtherUpstream?: boolean;
};

export type CellResult = {
	/** False when the step was not reached, which fails the cell unless it is known. */
	isReached: boolean;
	/** Whether the step of the second fault was reached. */
	isSecondReached: boolean;
	verdict: session.Verdict;
	/** Verdict of a copy that was sent elsewhere. */
	copy: session.Verdict | undefined;
	/** Verdicts of later tries under the same key at the other entry VM. */
	laterVerdicts: session.Verdict[];
	executions: number;
	/** Executions when the first `not-run` was told. */
	executionsWhenToldNotRun: number | undefined;
	wholeText: string;
	/** Requests that surviving daemons still hold at the end. */
	leftInFlight: number;
};

const isNotRun = (verdict: session.Verdict): boolean =>
	verdict.kind === 'problem' && verdict.problem.outcome === 'not-run';

const isUncertain = (verdict: session.Verdict): boolean =>
	verdict.kind === 'broken' ||
	verdict.kind === 'no-connection' ||
	(verdict.kind === 'problem' && verdict.problem.outcome === 'unknown');

const createRequest = (kind: Kind, address: string, key?: string): session.Request => {
	switch (kind) {
		case 'stream': {
			return session.chat(address, 'ask', text);
		}

		case 'crossing': {
			return session.chat(address, 'ask-far', text);
		}

		case 'order': {
			return session.order(address, 'order', text, key);
		}

		case 'look': {
			return session.order(address, 'look', text);
		}
	}
};

const inFlight = (entryVm: worlds.EntryVm): number =>
	(entryVm.daemon.dump() as {inFlight: number}).inFlight;

/** Fills every slot of the upstreams of a kind with requests that wait until they are let go. */
const block = (system: worlds.World, kind: Kind, address: string) => {
	for (let number = 0; number < blockers; number++) {
		const body = `${blocker} ${number}`;
		const request =
			kind === 'order' || kind === 'look'
				? session.order(address, 'look', body)
				: session.chat(address, kind === 'crossing' ? 'ask-far' : 'ask', body);
		void session.send(system, request);
	}
};

/** Runs one cell. */
export const runCell = async (
	kind: Kind,
	fault: faults.Fault,
	step: gatewayError.RequestStep,
	second?: SecondFault,
): Promise<CellResult> => {
	const readyMs = second && kind === 'order' ? pairReadyMs : undefined;
	const system = await worlds.startWorld(seed, readyMs);
	const [entryVm, neighbour] = system.entryVms as [worlds.EntryVm, worlds.EntryVm];
	const {address} = entryVm;
	const key = kind === 'order' ? await session.takeKey(system, address) : undefined;
	const caller = new AbortController();
	let isReached = false;
	let isSecondReached = false;
	let firstUpstream: string | undefined;
	let executionsWhenToldNotRun: number | undefined;
	let copy: Promise<session.Verdict> | undefined;
	const noteVerdict = (verdict: session.Verdict): session.Verdict => {
		if (isNotRun(verdict)) {
			executionsWhenToldNotRun ??= session.executions(system, text);
		}

		return verdict;
	};

	let lastActionMs = system.clock.nowMs();
	const apply = (fault: faults.Fault, upstream: string | undefined) => {
		lastActionMs = system.clock.nowMs();
		fault.apply({
			system,
			entryVm,
			neighbour,
			upstream,
			goAway() {
				caller.abort(new Error('the caller has gone'));
			},
			sendAgain() {
				copy = session.send(system, createRequest(kind, neighbour.address, key)).then(noteVerdict);
			},
		});
	};

	/** Injects what strikes at this moment. The second fault never strikes before the first. */
	const strike = (at: SecondFault['at'], upstream?: string) => {
		if (at === step && !isReached) {
			isReached = true;
			firstUpstream = upstream;
			apply(fault, upstream);
		}

		const isElsewhere = upstream !== undefined && upstream !== firstUpstream;
		const isDue = isReached && !isSecondReached && at === second?.at;
		if (second && isDue && (isElsewhere || !second.isAtOtherUpstream)) {
			isSecondReached = true;
			apply(second.fault, upstream);
		}
	};

	let unblock: () => void = () => undefined;
	const unblocked = new Promise<void>((resolve) => {
		unblock = resolve;
	});
	system.hook = async (at, upstream, seen) => {
		if (seen.includes(blocker) && at === 'sent-in-part') {
			await unblocked;
		}

		if (seen.includes(text)) {
			strike(at, upstream);
		}
	};

	const hasQueue = step === 'queued' || second?.at === 'queued';
	if (hasQueue) {
		block(system, kind, address);
		await system.clock.advance(queueMs);
	}

	strike('before-admission');
	lastActionMs = system.clock.nowMs();
	const sending = session
		.send(system, {...createRequest(kind, address, key), signal: caller.signal})
		.then(noteVerdict);
	if (hasQueue) {
		await system.clock.advance(queueMs);
		strike('queued');
		await system.clock.advance(unblockMs);
		unblock();
	}

	const verdict = await session.settle(system, sending);
	strike(
		'after-answer',
		[...system.upstreams.values()].find((item) => item.executions.includes(text))?.address,
	);

	const settleCopy = async () => copy && session.settle(system, copy);
	await settleCopy();
	const laterVerdicts: session.Verdict[] = [];
	let last = verdict;
	const maxTries = key === undefined ? 0 : tries;
	while (isUncertain(last) && laterVerdicts.length < maxTries) {
		await system.clock.advance(retryDelayMs);
		if (laterVerdicts.length === 0) {
			strike('first-retry');
		}

		lastActionMs = system.clock.nowMs();
		last = noteVerdict(
			await session.settle(
				system,
				session.send(system, createRequest(kind, neighbour.address, key)),
			),
		);
		laterVerdicts.push(last);
	}

	const sinceActionMs = system.clock.nowMs() - lastActionMs;
	await system.clock.advance(second ? Math.max(0, pairAftermathMs - sinceActionMs) : aftermathMs);
	// The second fault may have sent the copy together with a later try, or after the verdict.
	const copyVerdict = await settleCopy();
	const alive = system.entryVms.filter((item) => item.isAlive);
	const leftInFlight = alive.reduce((sum, item) => sum + inFlight(item), 0);
	const result = {
		isReached,
		isSecondReached,
		verdict,
		copy: copyVerdict,
		laterVerdicts,
		executions: session.executions(system, text),
		executionsWhenToldNotRun,
		wholeText: kind === 'order' || kind === 'look' ? `done: ${text}` : stepUpstream.wholeText(text),
		leftInFlight,
	};
	system.close();
	return result;
};
