// Guards against a fault at one step of a request that makes it run twice, or
// that makes a caller hear something untrue. Every fault is injected at every step.
import * as tap from 'tap';
import * as key from '../common/key.js';
import * as settings from '../common/settings.js';
import * as cluster from './cluster.js';

const steps = [
	'key-issued',
	'received',
	'intent-sent',
	'intent-acknowledged',
	'sent-in-part',
	'sent-in-full',
	'answered',
	'completion-sent',
	'after-answer',
] as const;
const faults = [
	'owner-crash',
	'owner-pause',
	'witness-crash',
	'request-lost',
	'response-lost',
	'duplicated',
	'late',
	'planned-stop',
] as const;
type Step = (typeof steps)[number];
type Fault = (typeof faults)[number];

const ownerIndex = 0;
const otherIndex = 3;
const lateMs = 3000;

/** Names that the cluster gives to the steps that it reports by message. */
const stepOfReport: Record<string, Step> = {
	'once.intent': 'intent-sent',
	'once.complete': 'completion-sent',
};

/** The message that is under way at a step, and why its faults may not exist. */
const messages: Record<Step, {message?: cluster.Message} & Partial<Record<Fault, string>>> = {
	'key-issued': {},
	received: {
		message: {kind: 'ask', direction: 'request'},
		'response-lost': 'no answer to the caller is under way yet; see after-answer',
	},
	'intent-sent': {message: {kind: 'once.intent', direction: 'request'}},
	'intent-acknowledged': {
		message: {kind: 'once.intent', direction: 'response'},
		'request-lost': 'an acknowledged intent has arrived',
		'response-lost': 'the acknowledgement has arrived; see intent-sent',
	},
	'sent-in-part': {
		message: {kind: 'upstream', direction: 'request'},
		'response-lost': 'the upstream answers only to a whole request',
		duplicated: 'the upstream is called over one connection',
	},
	'sent-in-full': {
		message: {kind: 'upstream', direction: 'response'},
		'request-lost': 'the whole request has arrived',
		duplicated: 'the upstream is called over one connection',
	},
	answered: {},
	'completion-sent': {message: {kind: 'once.complete', direction: 'request'}},
	'after-answer': {
		message: {kind: 'ask', direction: 'response'},
		'request-lost': 'the request of the caller has arrived',
		duplicated: 'the caller is answered over one connection',
	},
};

const letters = {ran: 'R', 'not-run': 'N', unknown: 'U', nothing: '-'};
const noMessage = 'no message is under way at this step';

const isMessageFault = (fault: Fault): boolean =>
	['request-lost', 'response-lost', 'duplicated', 'late'].includes(fault);

const reasonAgainst = (step: Step, fault: Fault): string | undefined =>
	messages[step][fault] ??
	(isMessageFault(fault) && !messages[step].message ? noMessage : undefined);

/** Loses, repeats or delays the messages of the step; the others arrive at once. */
const fateIn = (step: Step, fault: Fault, message: cluster.Message): cluster.Fate => {
	const target = messages[step].message;
	if (message.kind !== target?.kind) {
		return [0];
	}

	if (step === 'sent-in-part' && fault === 'owner-crash' && message.direction === 'request') {
		return []; // the rest of the request never leaves
	}

	if (step === 'sent-in-part' && fault === 'owner-pause' && message.direction === 'request') {
		return [lateMs]; // the rest leaves when the owner is resumed
	}

	if (fault === 'request-lost' || fault === 'response-lost') {
		return message.direction === fault.split('-')[0] ? [] : [0];
	}

	if (message.direction !== target.direction) {
		return [0];
	}

	return fault === 'duplicated' ? [0, 100] : [fault === 'late' ? lateMs : 0];
};

/**
 * Runs one cell. The caller asks the owner, then another daemon that takes the
 * owner for dead, then, with the fault over, the owner again. Gives what the
 * caller heard and the executions.
 */
const runCell = async (step: Step, fault: Fault): Promise<string> => {
	let isInjected = false;
	let asked = 0;
	let witnessIndex = -1;
	let stop: Promise<unknown> | undefined;

	const inject = () => {
		isInjected = true;
		if (fault.endsWith('-crash')) {
			world.crash(fault === 'owner-crash' ? ownerIndex : witnessIndex);
		}

		if (fault === 'owner-pause') {
			world.pause(ownerIndex, true);
		}
	};

	const world = cluster.createCluster({
		size: 4,
		settings: settings.defaultSettings,
		// Only the first request of the caller meets the faults of its messages.
		fateOf: (message) => (message.kind === 'ask' && asked > 1 ? [0] : fateIn(step, fault, message)),
		planOf: () => ({beforeMs: 0}),
		onStep(name) {
			if (!isInjected && (stepOfReport[name] ?? name) === step) {
				inject();
			}
		},
	});
	const owner = world.lives[ownerIndex]!;
	owner.view = owner.view.slice(0, otherIndex);
	const text = owner.issuer.issue();
	witnessIndex = Number(key.parseKey(text)!.witness!.name.slice('vm-'.length));

	const ask = (index: number) => {
		asked++;
		return world.ask(index, text, 'f');
	};

	/** A planned stop finishes the work in progress, hands over and ends the process. */
	const finishStop = async () => {
		for (let waitedMs = 0; waitedMs < 2000; waitedMs += 20) {
			const {unfinished} = owner.owner.dump() as {unfinished: unknown[]};
			if (isInjected && !stop && unfinished.length === 0) {
				stop = owner.owner.handOff(owner.view);
			}

			await world.advance(20);
		}

		world.crash(ownerIndex);
	};

	if (step === 'key-issued') {
		inject();
	}

	const first = ask(ownerIndex);
	await (fault === 'planned-stop' ? finishStop() : world.advance(2500));

	const firstHeard = first.received?.outcome;
	const second = ask(otherIndex);
	await world.advance(2500);
	world.resume(ownerIndex);
	await world.advance(4000);
	const third = ask(owner.state === 'crashed' ? otherIndex : ownerIndex);
	await world.advance(2500);

	const executions = world.executionsOf(text, 'f');
	for (const item of world.told) {
		const isTrue =
			(item.outcome !== 'not-run' || executions === 0) &&
			(item.outcome !== 'ran' || (executions === 1 && item.executions === 1));
		if (!isTrue) {
			throw new Error(`${item.by} said ${item.outcome}, executions ${executions}`);
		}
	}

	const heard = [firstHeard, second.received?.outcome, third.received?.outcome];
	const injected = isInjected || isMessageFault(fault) ? '' : 'not injected ';
	return `${injected}${heard.map((outcome) => letters[outcome ?? 'nothing']).join('')}${executions}`;
};

/**
 * One cell for each step, in order: what the caller hears at its three requests
 * (R ran, N not-run, U unknown, - nothing), then the executions. Dots stand for a
 * cell that cannot occur.
 */
const expected: Record<Fault, string> = {
	'owner-crash': '-NN0 -NN0 -UU0 -UU0 -UU0 -UU1 -UU1 -RR1 RRR1',
	'owner-pause': '-NN0 -NN0 -UR1 -UR1 -UR1 -UR1 -UR1 -RR1 RRR1',
	'witness-crash': 'NUN0 NUN0 NUN0 RUR1 RUR1 RUR1 RUR1 RUR1 RUR1',
	'request-lost': '.... -NN0 NNN0 .... UUU0 .... .... RUR1 ....',
	'response-lost': '.... .... NNN0 .... .... UUU1 .... RRR1 -RR1',
	duplicated: '.... RRR1 RRR1 RRR1 .... .... .... RRR1 ....',
	late: '.... -NN0 NNN0 NNN0 UUU1 UUU1 .... RUR1 -RR1',
	'planned-stop': 'NNN0 RRR1 RRR1 RRR1 RRR1 RRR1 RRR1 RRR1 RRR1',
};

for (const fault of faults) {
	tap.t.test(fault, async (t) => {
		const cells = expected[fault].split(' ');
		t.equal(cells.length, steps.length);
		for (const [index, step] of steps.entries()) {
			const reason = reasonAgainst(step, fault);
			if (reason) {
				t.equal(cells[index], '....', `${step}: cannot occur, ${reason}`);
			} else {
				t.equal(await runCell(step, fault), cells[index], step);
			}
		}
	});
}
