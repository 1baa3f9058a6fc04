/**
 * Decides which model each runner of one region serves. A pure function computes
 * the next changes from the desired and the observed state. Two thresholds and a
 * minimum time between changes prevent oscillation.
 */

/** Model and role that a runner serves or is assigned. */
export type Place = {model: string; role: string};

/** State of one runner at the holder of the lease. */
export type RunnerState = {
	name: string;
	/** Models that the catalogue allows on the runner. */
	models: readonly string[];
	slots: number;
	/** Last report; absent when it is too old. */
	observed?: Place & {leaving: boolean};
	desired?: Place;
	/** Time since the desired state of the runner changed. */
	sinceChangeMs: number;
};

export type PlacementSettings = {
	/** Role given to a runner that serves a model. */
	role: string;
	/** Capacity of one slot of a runner. */
	tokensPerSecondPerSlot: number;
	/** A model whose demand exceeds this share of its capacity gets another runner. */
	highShare: number;
	/** A model may lose a runner if its demand then stays below this share of its capacity. */
	lowShare: number;
	/** Shortest time between two changes of one runner. */
	minChangeMs: number;
	/** Maximum number of runners that change to their desired state at the same time. */
	maxChangesInProgress: number;
};

export type PlacementChange = {
	runner: string;
	place: Place;
	reason: 'adopted' | 'kept' | 'no-runner' | 'free-runner' | 'demand';
};

export type PlacementInput = {
	runners: readonly RunnerState[];
	/** Models that catalogue entries use in this region. */
	models: readonly string[];
	/** Tokens per second for each model; undefined without a recent report. */
	demand?: ReadonlyMap<string, number>;
};

export const isInDesiredState = (runner: RunnerState): boolean =>
	runner.desired !== undefined &&
	runner.observed?.model === runner.desired.model &&
	runner.observed.role === runner.desired.role;

/** Whether a runner has a recent report and is not leaving. */
export const isUsable = (runner: RunnerState): boolean =>
	runner.observed !== undefined && !runner.observed.leaving;

/** Whether a runner is assigned to the model and reports that it serves it. */
export const isServing = (runner: RunnerState, model: string): boolean =>
	isUsable(runner) && runner.desired?.model === model && runner.observed?.model === model;

const isServedByOthers = (
	runners: readonly RunnerState[],
	model: string,
	exceptName: string,
): boolean => runners.some((runner) => runner.name !== exceptName && isServing(runner, model));

/** Working copy of the state that changes are applied to. */
type PlacementDraft = {
	runners: RunnerState[];
	changes: PlacementChange[];
	settings: PlacementSettings;
	input: PlacementInput;
};

const assignedTo = (draft: PlacementDraft, model: string): RunnerState[] =>
	draft.runners.filter((runner) => isUsable(runner) && runner.desired?.model === model);

const capacityOf = (draft: PlacementDraft, runners: readonly RunnerState[]): number =>
	draft.settings.tokensPerSecondPerSlot *
	runners.reduce((slots, runner) => slots + runner.slots, 0);

const demandOf = (draft: PlacementDraft, model: string): number =>
	draft.input.demand?.get(model) ?? 0;

/** Demand as a share of the capacity of a model; the capacity leaves out the runner `withoutName`. */
const loadShare = (draft: PlacementDraft, model: string, withoutName?: string): number => {
	const runners = assignedTo(draft, model).filter((runner) => runner.name !== withoutName);
	const demand = demandOf(draft, model);
	const capacity = capacityOf(draft, runners);
	return demand === 0 ? 0 : demand / capacity;
};

const applyChange = (
	draft: PlacementDraft,
	runner: RunnerState,
	model: string,
	reason: PlacementChange['reason'],
): void => {
	const place = {model, role: draft.settings.role};
	runner.desired = place;
	runner.sinceChangeMs = 0;
	draft.changes.push({runner: runner.name, place, reason});
};

/** Adopts the models that runners already serve, so that the first start changes nothing. */
const adoptObserved = (draft: PlacementDraft): void => {
	for (const runner of draft.runners) {
		const {observed, desired} = runner;
		if (!desired && observed && isUsable(runner) && runner.models.includes(observed.model)) {
			const {sinceChangeMs} = runner;
			applyChange(draft, runner, observed.model, 'adopted');
			runner.sinceChangeMs = sinceChangeMs;
		}
	}
};

/**
 * Keeps the model of a runner that is due to change but is the last one with its
 * model. This needs no load. It also resolves the deadlock of two runners that are
 * each assigned the model of the other.
 */
const keepLastRunners = (draft: PlacementDraft): void => {
	for (const runner of draft.runners) {
		const {observed, desired} = runner;
		if (!observed || !desired || !isUsable(runner) || observed.model === desired.model) {
			continue;
		}

		const isModelNeeded =
			draft.input.models.includes(observed.model) && runner.models.includes(observed.model);
		if (isModelNeeded && !isServedByOthers(draft.runners, observed.model, runner.name)) {
			applyChange(draft, runner, observed.model, 'kept');
		}
	}
};

const compareByLoadShare =
	(draft: PlacementDraft, withoutRunner: boolean) => (left: RunnerState, right: RunnerState) => {
		const shareOf = (runner: RunnerState) =>
			loadShare(draft, runner.desired!.model, withoutRunner ? runner.name : undefined);
		return shareOf(left) - shareOf(right) || (left.name < right.name ? -1 : 1);
	};

/** Runners that may be reassigned; the last runner of a model never may. */
const findDonors = (draft: PlacementDraft, model: string): RunnerState[] =>
	draft.runners.filter(
		(runner) =>
			isUsable(runner) &&
			runner.models.includes(model) &&
			runner.desired !== undefined &&
			runner.desired.model !== model &&
			isInDesiredState(runner) &&
			runner.sinceChangeMs >= draft.settings.minChangeMs &&
			(!draft.input.models.includes(runner.desired.model) ||
				isServedByOthers(draft.runners, runner.desired.model, runner.name)),
	);

const findFreeRunner = (draft: PlacementDraft, model: string): RunnerState | undefined =>
	draft.runners.find(
		(runner) => isUsable(runner) && runner.desired === undefined && runner.models.includes(model),
	);

const countInProgress = (draft: PlacementDraft): number =>
	draft.runners.filter(
		(runner) =>
			isUsable(runner) &&
			runner.desired !== undefined &&
			!isInDesiredState(runner) &&
			// A runner that never reaches its desired state must not block the others.
			runner.sinceChangeMs < draft.settings.minChangeMs,
	).length;

const canStartChange = (draft: PlacementDraft): boolean =>
	countInProgress(draft) < draft.settings.maxChangesInProgress;

const assignFirstRunner = (draft: PlacementDraft, model: string): void => {
	const donor =
		findFreeRunner(draft, model) ??
		findDonors(draft, model).sort(compareByLoadShare(draft, true))[0];
	if (donor && canStartChange(draft)) {
		applyChange(draft, donor, model, 'no-runner');
	}
};

/** Assigns a first runner to each model without one where possible, by descending demand. */
const assignUnservedModels = (draft: PlacementDraft): void => {
	const uncovered = draft.input.models
		.filter((model) => assignedTo(draft, model).length === 0)
		.sort(
			(left, right) => demandOf(draft, right) - demandOf(draft, left) || (left < right ? -1 : 1),
		);
	for (const model of uncovered) {
		assignFirstRunner(draft, model);
	}
};

const sortByLoadShareDescending = (draft: PlacementDraft, models: readonly string[]): string[] =>
	[...models].sort(
		(left, right) => loadShare(draft, right) - loadShare(draft, left) || (left < right ? -1 : 1),
	);

/** Assigns models to runners without one, by descending load. */
const assignFreeRunners = (draft: PlacementDraft): void => {
	for (const runner of draft.runners) {
		if (!isUsable(runner) || runner.desired !== undefined || !canStartChange(draft)) {
			continue;
		}

		const possible = draft.input.models.filter((model) => runner.models.includes(model));
		const [model] = sortByLoadShareDescending(draft, possible);
		if (model !== undefined) {
			applyChange(draft, runner, model, 'free-runner');
		}
	}
};

/** Moves runners from models with a low load share to models with a high one. */
const rebalanceByDemand = (draft: PlacementDraft): void => {
	const {highShare, lowShare} = draft.settings;
	for (const model of sortByLoadShareDescending(draft, draft.input.models)) {
		while (loadShare(draft, model) > highShare && canStartChange(draft)) {
			const donors = findDonors(draft, model).filter(
				(runner) => loadShare(draft, runner.desired!.model, runner.name) < lowShare,
			);
			const [donor] = donors.sort(compareByLoadShare(draft, true));
			if (!donor) {
				break;
			}

			applyChange(draft, donor, model, 'demand');
		}
	}
};

/** Chooses the next changes of the desired state. */
export const decidePlacement = (
	input: PlacementInput,
	settings: PlacementSettings,
): PlacementChange[] => {
	const runners = [...input.runners]
		.sort((left, right) => (left.name < right.name ? -1 : 1))
		.map((runner) => ({...runner}));
	const draft: PlacementDraft = {runners, changes: [], settings, input};
	adoptObserved(draft);
	keepLastRunners(draft);
	assignUnservedModels(draft);
	assignFreeRunners(draft);
	if (input.demand) {
		rebalanceByDemand(draft);
	}

	return draft.changes;
};
