/** The scenario: mixed work through peak, slowed upstream, isolated region, leaving runner and planned stop. */
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import type * as random from '@hawthornfront/base/common/random.js';
import * as caller from './caller.js';
import type * as deployment from './deployment.js';
import type * as report from './report.js';
import * as shape from './shape.js';

const arrivalMeanMs = 40;
const phaseMs = 4000;
const slowFactor = 10;
const leaveBoundMs = 3000;
const revisionSampleMs = 200;
const maxAnswerBytes = 1_048_576;

export type Facts = {
	observations: report.Observation[];
	/** Requests that a leaving runner received after the bound. */
	lateAtLeavingRunner: number;
	/** Requests that it received before, so that the check is not empty. */
	receivedByLeavingRunner: number;
	/** Time until the edit of the catalogue was in force on each daemon that could be reached. */
	configurationMs: number;
	/** A daemon went back to a lower revision. */
	hasRevisionReverted: boolean;
	/** Requests in progress at the daemon when its planned stop began. */
	inFlightAtStop: number;
	/** Address of the stopped daemon. */
	stoppedAddress: string;
	/** Status of a request that had passed this deployment before. */
	loopStatus: number;
	/** Status of a bound request at the wrong region. */
	wrongRegionStatus: number;
};

type Kind = report.Observation['kind'];

export type ScenarioOptions = {
	deployment: deployment.Deployment;
	random: random.Random;
	say(line: string): void;
	/** Edits the catalogue and returns the new revision. */
	editCatalogue(): Promise<number>;
};

const prompts = {
	short: 'The heater in greenhouse 4 shows fault code E17 and the fan does not start. Class?',
	long:
		'Draft a hire contract from this tariff sheet: ' + 'heater 20 kW, 31 days, rate B; '.repeat(60),
};

/** Prompt that was sent for an observation; the body makes it unique. */
export const promptOf = (item: Pick<report.Observation, 'kind' | 'body'>): string =>
	`${item.body} ${item.kind === 'contract draft' ? prompts.long : prompts.short}`;

/** The entry VM with the most requests in progress, and their number. */
const busiest = (entryVms: deployment.EntryVm[]): [deployment.EntryVm, number] => {
	const counted = entryVms.map((entryVm): [deployment.EntryVm, number] => [
		entryVm,
		(entryVm.daemon.dump() as {inFlight: number}).inFlight,
	]);
	return counted.sort(([, left], [, right]) => right - left)[0]!;
};

/** Runs the scenario and gives what was seen. */
export const runScenario = async (options: ScenarioOptions): Promise<Facts> => {
	const {deployment: system, random: numbers, say} = options;
	const {clock, network, runners, entryVms} = system;
	const observations: report.Observation[] = [];
	const pending = new Set<Promise<void>>();
	const addressesIn = (region: shape.Region): string[] =>
		entryVms.filter((entryVm) => entryVm.region === region).map(({daemon}) => daemon.address);
	const createCaller = (region: shape.Region, team: string) =>
		caller.createCaller({
			clock,
			client: system.callerClient(region),
			apiKey: shape.apiKey(team),
			addresses: addressesIn(region),
		});
	const callers = new Map(
		shape.regions.map((region) => [region, createCaller(region, shape.team)] as const),
	);
	const boundCaller = createCaller('veneto', shape.boundTeam);
	let phase = 'start';
	let sequence = 0;

	const send = (kind: Kind, region: shape.Region) => {
		const body = `${kind} ${++sequence}`;
		const sentInPhase = phase;
		const isBound = region === 'veneto' && numbers.next() < 0.3;
		const own = callers.get(region)!;
		const call = async () => {
			switch (kind) {
				case 'contract draft': {
					return own.ask('contract-drafts', promptOf({kind, body}));
				}

				case 'fault message': {
					return own.ask('fault-messages', promptOf({kind, body}));
				}

				case 'availability': {
					return own.check('availability', `/heaters/${sequence}`);
				}

				case 'booking': {
					return isBound
						? boundCaller.book('veneto-bookings', '/bound/reservations', body)
						: own.book('bookings', '/reservations', body);
				}
			}
		};

		const task = (async () => {
			const result = await call();
			observations.push({...result, kind, region, phase: sentInPhase, body});
		})();
		pending.add(task);
		void task.finally(() => {
			pending.delete(task);
		});
	};

	const kinds: Kind[] = [
		'contract draft',
		'fault message',
		'fault message',
		'booking',
		'availability',
	];
	const arrive = async (name: string, durationMs: number) => {
		phase = name;
		say(name);
		const endMs = clock.nowMs() + durationMs;
		while (clock.nowMs() < endMs) {
			send(numbers.pick(kinds)!, numbers.pick(shape.regions)!);
			await clock.sleep(numbers.exponential(arrivalMeanMs));
		}
	};

	const revisions = new Map<string, number>();
	let hasRevisionReverted = false;
	const sampler = clock.setPeriodicTimer(() => {
		for (const {name, daemon} of entryVms) {
			const {revision} = daemon.fleet.snapshot();
			hasRevisionReverted ||= revision < (revisions.get(name) ?? 0);
			revisions.set(name, revision);
		}
	}, revisionSampleMs);

	const probe = async (headers: Record<string, string>, team: string): Promise<number> => {
		const answer = await system.callerClient('emilia').request({
			peer: addressesIn('emilia')[0]!,
			method: 'POST',
			path: '/v1/services/veneto-bookings/bound/reservations',
			headers: {authorization: `Bearer ${shape.apiKey(team)}`, ...headers},
			body: 'probe',
		});
		await httpClient.readText(answer.body, maxAnswerBytes);
		return answer.status;
	};

	await arrive('normal work in three regions', phaseMs);
	const wrongRegionStatus = await probe({}, shape.team);
	const loopStatus = await probe({'cdn-loop': 'hawthornfront-demo'}, shape.team);

	const slowed = runners.find((runner) => runner.region === 'lombardia')!;
	slowed.standin.faults.slowFactor = slowFactor;
	await arrive(`${slowed.name} slowed ${slowFactor} times`, phaseMs);
	slowed.standin.faults.slowFactor = 1;

	network.isolate('emilia');
	await arrive('emilia cut off from the other regions and the store', phaseMs);
	network.healAll();
	await arrive('emilia connected again', phaseMs);

	const editedAtMs = clock.nowMs();
	const revision = await options.editCatalogue();
	while (!entryVms.every(({daemon}) => daemon.fleet.snapshot().revision >= revision)) {
		await clock.sleep(revisionSampleMs / 4);
		if (clock.nowMs() - editedAtMs > 20_000) {
			break;
		}
	}

	const configurationMs = clock.nowMs() - editedAtMs;
	say(`catalogue edit in force on all daemons after ${configurationMs.toFixed(0)} ms`);

	const leaving = runners.find((runner) => runner.region === 'veneto')!;
	leaving.standin.faults.leaving = true;
	await arrive(`${leaving.name} leaves`, leaveBoundMs);
	const atBound = leaving.standin.counts.receivedWhileLeaving;
	const receivedByLeavingRunner = leaving.standin.counts.received;
	await arrive(`${leaving.name} has left`, phaseMs);
	const lateAtLeavingRunner = leaving.standin.counts.receivedWhileLeaving - atBound;

	const load = arrive('planned stop of the busiest entry VM', phaseMs);
	await clock.sleep(phaseMs / 4);
	const [stopping, inFlightAtStop] = busiest(entryVms);
	await Promise.all([stopping.daemon.stop(), load]);
	await Promise.all(pending);
	sampler.dispose();
	return {
		observations,
		lateAtLeavingRunner,
		receivedByLeavingRunner,
		configurationMs,
		hasRevisionReverted,
		inFlightAtStop,
		stoppedAddress: stopping.daemon.address,
		loopStatus,
		wrongRegionStatus,
	};
};
