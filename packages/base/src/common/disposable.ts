/**
 * Explicit release of resources. Every timer and listener of the gateway belongs
 * to a disposable, so that a stopped component leaks none.
 */

/** Holds a resource until it is disposed. Further calls of `dispose` have no effect. */
export type Disposable = {
	dispose(): void;
};

/** Creates a disposable that runs `cleanUp` at most once. */
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

/** A set of disposables that are disposed together. Items added after that are disposed immediately. */
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
