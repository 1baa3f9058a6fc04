/**
 * Finds a slot for a second attempt while the first one is stalled. A stall does not
 * prove a failure, so the first attempt continues in parallel.
 */

export type SuccessorSearchOptions<Slot> = {
	/** Waits for a slot until the signal is aborted. */
	acquire(signal: AbortSignal): Promise<Slot>;
	/** Called once a slot is held: checks that a successor can still start and that the retry budget allows it. */
	canStartSuccessor(): boolean;
	/** Releases a slot that is not used. */
	release(place: Slot): void;
	/** Called when a slot is held and can be taken. */
	onDidFind(): void;
};

export type SuccessorSearch<Slot> = {
	/** Starts a search unless one is active or a slot is held. A refusal ends the search until the next call. */
	start(): void;
	/** Stops the search; a slot that is acquired later is released. */
	stop(): void;
	/** Returns the slot once. */
	take(): Slot | undefined;
};

export const createSuccessorSearch = <Slot>(
	options: SuccessorSearchOptions<Slot>,
): SuccessorSearch<Slot> => {
	let activeSearch: AbortController | undefined;
	let found: Slot | undefined;

	const search = async (controller: AbortController): Promise<void> => {
		let slot: Slot;
		try {
			slot = await options.acquire(controller.signal);
		} catch {
			// The stalled attempt continues, and its next stall starts the search again.
			return;
		} finally {
			if (activeSearch === controller) {
				activeSearch = undefined;
			}
		}

		if (controller.signal.aborted || !options.canStartSuccessor()) {
			options.release(slot);
			return;
		}

		found = slot;
		options.onDidFind();
	};

	return {
		start() {
			if (!activeSearch && found === undefined) {
				activeSearch = new AbortController();
				void search(activeSearch);
			}
		},
		stop() {
			activeSearch?.abort(new Error('a successor is no longer needed'));
			activeSearch = undefined;
		},
		take() {
			const taken = found;
			found = undefined;
			return taken;
		},
	};
};
