// Guards against a request that runs twice, or a caller that receives a wrong
// outcome, after a fault at one step. Every fault is injected at every step.
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

/** Steps that the cluster reports under the name of a message. */
const stepOfReport: Record<string, Step> = {
	'once.intent': 'intent-sent',
	'once.complete': 'completion-sent',
};

/** The message in transit at each step, and the reasons why faults can't occur there. */
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

const inapplicableReason = (step: Step, fault: Fault): string | undefined =>
	messages[step][fault] ??
	(isMessageFault(fault) && !messages[step].message ? noMessage : undefined);

/** Loses, duplicates or delays the messages of the step; all others arrive without delay. */
const deliveryDelaysFor = (
	step: Step,
	fault: Fault,
	message: cluster.Message,
): cluster.DeliveryDelays => {
	const target = messages[step].message;
	if (message.kind !== target?.kind) {
		return [0];
	}

	if (step === 'sent-in-part' && fault === 'owner-crash' && message.direction === 'request') {
		return []; // the rest of the request is never sent
	}

	if (step === 'sent-in-part' && fault === 'owner-pause' && message.direction === 'request') {
		return [lateMs]; // the rest is sent when the owner is resumed
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
 * Runs one cell. The caller sends its request to the owner, then to another daemon
 * that considers the owner dead, then, after the fault, to the owner again. Returns
 * the outcomes that the caller received and the number of executions.
 */
const runCell = async (step: Step, fault: Fault): Promise<string> => {
	let isInjected = false;
	let requestCount = 0;
	let witnessIndex = -1;
	let stop: Promise<unknown> | undefined;

	const inject = () => {
		isInjected = true;
		if (fault.endsWith('-crash')) {
			simulation.crash(fault === 'owner-crash' ? ownerIndex : witnessIndex);
		}

		if (fault === 'owner-pause') {
			simulation.pause(ownerIndex, true);
		}
	};

	const simulation = cluster.createCluster({
		size: 4,
		settings: settings.defaultSettings,
		// Faults on messages of the caller affect only its first request.
		deliveryDelaysOf: (message) =>
			message.kind === 'ask' && requestCount > 1 ? [0] : deliveryDelaysFor(step, fault, message),
		attemptPlanOf: () => ({beforeMs: 0}),
		onStep(name) {
			if (!isInjected && (stepOfReport[name] ?? name) === step) {
				inject();
			}
		},
	});
	const owner = simulation.instances[ownerIndex]!;
	owner.view = owner.view.slice(0, otherIndex);
	const text = owner.issuer.issue();
	witnessIndex = Number(key.parseKey(text)!.witness!.name.slice('vm-'.length));

	const sendRequest = (index: number) => {
		requestCount++;
		return simulation.sendRequest(index, text, 'f');
	};

	/** Waits for requests in progress, transfers the records and ends the process, as a planned stop does. */
	const finishStop = async () => {
		for (let waitedMs = 0; waitedMs < 2000; waitedMs += 20) {
			const {unfinished} = owner.owner.dump() as {unfinished: unknown[]};
			if (isInjected && !stop && unfinished.length === 0) {
				stop = owner.owner.handOff(owner.view);
			}

			await simulation.advance(20);
		}

		simulation.crash(ownerIndex);
	};

	if (step === 'key-issued') {
		inject();
	}

	const first = sendRequest(ownerIndex);
	await (fault === 'planned-stop' ? finishStop() : simulation.advance(2500));

	const firstOutcome = first.received?.outcome;
	const second = sendRequest(otherIndex);
	await simulation.advance(2500);
	simulation.resume(ownerIndex);
	await simulation.advance(4000);
	const third = sendRequest(owner.state === 'crashed' ? otherIndex : ownerIndex);
	await simulation.advance(2500);

	const executions = simulation.executionsOf(text, 'f');
	for (const item of simulation.callerResults) {
		const isConsistent =
			(item.outcome !== 'not-run' || executions === 0) &&
			(item.outcome !== 'ran' || (executions === 1 && item.executions === 1));
		if (!isConsistent) {
			throw new Error(`${item.by} said ${item.outcome}, executions ${executions}`);
		}
	}

	const outcomes = [firstOutcome, second.received?.outcome, third.received?.outcome];
	const injected = isInjected || isMessageFault(fault) ? '' : 'not injected ';
	return `${injected}${outcomes.map((outcome) => letters[outcome ?? 'nothing']).join('')}${executions}`;
};

/**
 * One cell for each step, in order: the outcomes of the caller's three requests
 * (R ran, N not-run, U unknown, - no answer), then the number of executions. Dots
 * mark a cell that can't occur.
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
			const reason = inapplicableReason(step, fault);
			if (reason) {
				t.equal(cells[index], '....', `${step}: cannot occur, ${reason}`);
			} else {
				t.equal(await runCell(step, fault), cells[index], step);
			}
		}
	});
}
