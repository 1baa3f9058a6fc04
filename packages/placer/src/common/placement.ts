/**
 * Decides which model each runner of one region serves. The decision is pure:
 * it sees the desired and the observed state and gives the next few changes.
 * Two thresholds and a minimum time between changes keep it from swinging.
 */

/** What a runner shall serve, or serves. */
export type Place = {model: string; role: string};

/** One runner as the holder of the lease knows it. */
export type RunnerState = {
	name: string;
	/** Models that the catalogue allows on it. */
	models: readonly string[];
	slots: number;
	/** Last report; absent when the runner has been silent for too long. */
	observed?: Place & {leaving: boolean};
	desired?: Place;
	/** Time since its desired state changed. */
	sinceChangeMs: number;
};

export type PlacementSettings = {
	/** Role given to a runner that serves a model. */
	role: string;
	/** Tokens per second that one slot of a runner carries. */
	tokensPerSecondPerSlot: number;
	/** A model above this share of its capacity gets another runner. */
	highShare: number;
	/** A model that would stay below this share may give up a runner. */
	lowShare: number;
	/** Shortest time between two changes of one runner. */
	minChangeMs: number;
	/** Runners that may be on their way to their desired state at once. */
	maxChangesInProgress: number;
};

export type PlacementChange = {
	runner: string;
	place: Place;
	reason: 'adopted' | 'kept' | 'no-runner' | 'free-runner' | 'demand';
};

export type PlacementInput = {
	runners: readonly RunnerState[];
	/** Models that entries of the catalogue lead to in this region. */
	models: readonly string[];
	/** Tokens per second for each model; undefined while it is not known. */
	demand?: ReadonlyMap<string, number>;
};

export const isInPlace = (runner: RunnerState): boolean =>
	runner.desired !== undefined &&
	runner.observed?.model === runner.desired.model &&
	runner.observed.role === runner.desired.role;

/** A runner that answers and stays. */
export const isUsable = (runner: RunnerState): boolean =>
	runner.observed !== undefined && !runner.observed.leaving;

/** Whether a runner is meant to serve the model and is seen serving it. */
export const isServing = (runner: RunnerState, model: string): boolean =>
	isUsable(runner) && runner.desired?.model === model && runner.observed?.model === model;

const isServedByOthers = (
	runners: readonly RunnerState[],
	model: string,
	exceptName: string,
): boolean => runners.some((runner) => runner.name !== exceptName && isServing(runner, model));

/** Working copy of the state while changes are chosen. */
type Board = {
	runners: RunnerState[];
	changes: PlacementChange[];
	settings: PlacementSettings;
	input: PlacementInput;
};

const assignedTo = (board: Board, model: string): RunnerState[] =>
	board.runners.filter((runner) => isUsable(runner) && runner.desired?.model === model);

const capacityOf = (board: Board, runners: readonly RunnerState[]): number =>
	board.settings.tokensPerSecondPerSlot *
	runners.reduce((slots, runner) => slots + runner.slots, 0);

const demandOf = (board: Board, model: string): number => board.input.demand?.get(model) ?? 0;

/** Demand as a share of the capacity of a model, without one of its runners if given. */
const loadShare = (board: Board, model: string, withoutName?: string): number => {
	const runners = assignedTo(board, model).filter((runner) => runner.name !== withoutName);
	const demand = demandOf(board, model);
	const capacity = capacityOf(board, runners);
	return demand === 0 ? 0 : demand / capacity;
};

const change = (
	board: Board,
	runner: RunnerState,
	model: string,
	reason: PlacementChange['reason'],
): void => {
	const place = {model, role: board.settings.role};
	runner.desired = place;
	runner.sinceChangeMs = 0;
	board.changes.push({runner: runner.name, place, reason});
};

/** Takes over what runners serve already, so that the first start changes nothing. */
const adoptObserved = (board: Board): void => {
	for (const runner of board.runners) {
		const {observed, desired} = runner;
		if (!desired && observed && isUsable(runner) && runner.models.includes(observed.model)) {
			const {sinceChangeMs} = runner;
			change(board, runner, observed.model, 'adopted');
			runner.sinceChangeMs = sinceChangeMs;
		}
	}
};

/**
 * A runner that was to change but turned out to be the last one with its model
 * keeps it. This costs no load, and it also settles two runners that have each
 * other's model and would wait for each other for ever.
 */
const keepLast = (board: Board): void => {
	for (const runner of board.runners) {
		const {observed, desired} = runner;
		if (!observed || !desired || !isUsable(runner) || observed.model === desired.model) {
			continue;
		}

		const isWanted =
			board.input.models.includes(observed.model) && runner.models.includes(observed.model);
		if (isWanted && !isServedByOthers(board.runners, observed.model, runner.name)) {
			change(board, runner, observed.model, 'kept');
		}
	}
};

const byLoad =
	(board: Board, withoutRunner: boolean) => (left: RunnerState, right: RunnerState) => {
		const shareOf = (runner: RunnerState) =>
			loadShare(board, runner.desired!.model, withoutRunner ? runner.name : undefined);
		return shareOf(left) - shareOf(right) || (left.name < right.name ? -1 : 1);
	};

/** Runners that may leave their model; the last one of a model never may. */
const findDonors = (board: Board, model: string): RunnerState[] =>
	board.runners.filter(
		(runner) =>
			isUsable(runner) &&
			runner.models.includes(model) &&
			runner.desired !== undefined &&
			runner.desired.model !== model &&
			isInPlace(runner) &&
			runner.sinceChangeMs >= board.settings.minChangeMs &&
			(!board.input.models.includes(runner.desired.model) ||
				isServedByOthers(board.runners, runner.desired.model, runner.name)),
	);

const findFree = (board: Board, model: string): RunnerState | undefined =>
	board.runners.find(
		(runner) => isUsable(runner) && runner.desired === undefined && runner.models.includes(model),
	);

const countInProgress = (board: Board): number =>
	board.runners.filter(
		(runner) =>
			isUsable(runner) &&
			runner.desired !== undefined &&
			!isInPlace(runner) &&
			// A runner that does not get there must not hold up the others for ever.
			runner.sinceChangeMs < board.settings.minChangeMs,
	).length;

const hasBudget = (board: Board): boolean =>
	countInProgress(board) < board.settings.maxChangesInProgress;

const coverModel = (board: Board, model: string): void => {
	const donor = findFree(board, model) ?? findDonors(board, model).sort(byLoad(board, true))[0];
	if (donor && hasBudget(board)) {
		change(board, donor, model, 'no-runner');
	}
};

/** Gives every model its first runner where possible, the most wanted model first. */
const coverAll = (board: Board): void => {
	const uncovered = board.input.models
		.filter((model) => assignedTo(board, model).length === 0)
		.sort(
			(left, right) => demandOf(board, right) - demandOf(board, left) || (left < right ? -1 : 1),
		);
	for (const model of uncovered) {
		coverModel(board, model);
	}
};

const byLoadShareDown = (board: Board, models: readonly string[]): string[] =>
	[...models].sort(
		(left, right) => loadShare(board, right) - loadShare(board, left) || (left < right ? -1 : 1),
	);

/** Puts runners without a model to work. */
const useFreeRunners = (board: Board): void => {
	for (const runner of board.runners) {
		if (!isUsable(runner) || runner.desired !== undefined || !hasBudget(board)) {
			continue;
		}

		const possible = board.input.models.filter((model) => runner.models.includes(model));
		const [model] = byLoadShareDown(board, possible);
		if (model !== undefined) {
			change(board, runner, model, 'free-runner');
		}
	}
};

/** Moves runners from models with much room to models with too little. */
const followDemand = (board: Board): void => {
	const {highShare, lowShare} = board.settings;
	for (const model of byLoadShareDown(board, board.input.models)) {
		while (loadShare(board, model) > highShare && hasBudget(board)) {
			const donors = findDonors(board, model).filter(
				(runner) => loadShare(board, runner.desired!.model, runner.name) < lowShare,
			);
			const [donor] = donors.sort(byLoad(board, true));
			if (!donor) {
				break;
			}

			change(board, donor, model, 'demand');
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
	const board: Board = {runners, changes: [], settings, input};
	adoptObserved(board);
	keepLast(board);
	coverAll(board);
	useFreeRunners(board);
	if (input.demand) {
		followDemand(board);
	}

	return board.changes;
};
