/**
 * Typed events. A component exposes `onDidX: Event<T>` and keeps the
 * {@link Emitter} private, so that no other code can fire the event.
 */
import * as disposable from './disposable.js';

/** Registers a listener until the returned disposable is disposed. */
export type Event<T> = (listener: (value: T) => void) => disposable.Disposable;

/** Fires an {@link Event}. */
export type Emitter<T> = disposable.Disposable & {
	readonly event: Event<T>;
	fire(value: T): void;
};

/** Creates an emitter. Listeners are called in the order of registration. */
export const createEmitter = <T>(): Emitter<T> => {
	const listeners = new Set<(value: T) => void>();
	return {
		event(listener) {
			// The wrapper makes two registrations of the same function distinct.
			const registered = (value: T) => {
				listener(value);
			};

			listeners.add(registered);
			return disposable.toDisposable(() => {
				listeners.delete(registered);
			});
		},
		fire(value) {
			// Iterates over a copy, because a listener may remove listeners.
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
