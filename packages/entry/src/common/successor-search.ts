/**
 * Finds another place for a request whose attempt is silent, while that attempt
 * goes on. Silence is no proof of failure, so the successor runs beside it.
 */

export type SuccessorSearchOptions<Place> = {
	/** Waits for a place until the signal is aborted. */
	acquire(signal: AbortSignal): Promise<Place>;
	/** Asked once a place is held: whether the request may run there now, and whether the retry budget allows it. */
	mayReplace(): boolean;
	/** Gives a place back that is not used. */
	release(place: Place): void;
	/** The place is held; take it. */
	onDidFind(): void;
};

export type SuccessorSearch<Place> = {
	/** Starts to look, unless it does already or has found a place. A refusal ends the search until the next call. */
	start(): void;
	/** Stops looking; a place that is found later is given back. */
	stop(): void;
	/** The place, once. */
	take(): Place | undefined;
};

/** Creates a search that has not started. */
export const createSuccessorSearch = <Place>(
	options: SuccessorSearchOptions<Place>,
): SuccessorSearch<Place> => {
	let looking: AbortController | undefined;
	let found: Place | undefined;

	const look = async (controller: AbortController): Promise<void> => {
		let place: Place;
		try {
			place = await options.acquire(controller.signal);
		} catch {
			// The silent attempt goes on, and whoever watches it asks again.
			return;
		} finally {
			if (looking === controller) {
				looking = undefined;
			}
		}

		if (controller.signal.aborted || !options.mayReplace()) {
			options.release(place);
			return;
		}

		found = place;
		options.onDidFind();
	};

	return {
		start() {
			if (!looking && found === undefined) {
				looking = new AbortController();
				void look(looking);
			}
		},
		stop() {
			looking?.abort(new Error('no successor is wanted any more'));
			looking = undefined;
		},
		take() {
			const taken = found;
			found = undefined;
			return taken;
		},
	};
};
