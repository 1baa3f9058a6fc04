/**
 * Disposables own every timer and listener of the gateway, so that a stopped
 * component leaves nothing behind.
 */

/** Something that holds a resource until it is disposed. Disposing twice is harmless. */
export type Disposable = {
	dispose(): void;
};

/** Wraps a clean-up function so that it runs at most once. */
export const toDisposable = (cleanUp: () => void): Disposable => {
	let isDisposed = false;
	return {
		dispose() {
			if (isDisposed) {
				return;
			}

			isDisposed = true;
			cleanUp();
		},
	};
};

/** A set of disposables that end together. Items added after the end are disposed at once. */
export type DisposableStore = Disposable & {
	readonly isDisposed: boolean;
	add<T extends Disposable>(item: T): T;
	delete(item: Disposable): void;
};

/** Creates an empty {@link DisposableStore}. */
export const createDisposableStore = (): DisposableStore => {
	const items = new Set<Disposable>();
	let isDisposed = false;
	return {
		get isDisposed() {
			return isDisposed;
		},
		add(item) {
			if (isDisposed) {
				item.dispose();
			} else {
				items.add(item);
			}

			return item;
		},
		delete(item) {
			items.delete(item);
		},
		dispose() {
			isDisposed = true;
			const pending = [...items];
			items.clear();
			for (const item of pending) {
				item.dispose();
			}
		},
	};
};
