/**
 * Typed events. A component exposes `onDidX: Event<T>` and keeps the
 * {@link Emitter} to itself, so that only the owner can fire it.
 */
import * as disposable from './disposable.js';

/** Registers a listener until the returned disposable is disposed. */
export type Event<T> = (listener: (value: T) => void) => disposable.Disposable;

/** The owner's side of an {@link Event}. */
export type Emitter<T> = disposable.Disposable & {
	readonly event: Event<T>;
	fire(value: T): void;
};

/** Creates an emitter. Listeners are called in the order of registration. */
export const createEmitter = <T>(): Emitter<T> => {
	const listeners = new Set<(value: T) => void>();
	return {
		event(listener) {
			// A wrapper keeps two registrations of the same function apart.
			const registered = (value: T) => {
				listener(value);
			};

			listeners.add(registered);
			return disposable.toDisposable(() => {
				listeners.delete(registered);
			});
		},
		fire(value) {
			// Listeners may be removed while they are called.
			const current = [...listeners];
			for (const listener of current) {
				listener(value);
			}
		},
		dispose() {
			listeners.clear();
		},
	};
};
