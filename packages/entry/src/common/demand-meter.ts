/** Measures the demand per model in tokens per second. The placer reads it from the state dump. */
import type * as clock from '@hawthornfront/base/common/clock.js';

const halfLifeMs = 30_000;

type Level = {tokens: number; updatedAtMs: number};

export type DemandMeter = {
	/** Adds the estimated tokens of a request for a model. */
	add(model: string, tokens: number): void;
	/** Tokens per second by model, decaying with a half-life of 30 s. */
	read(): Record<string, number>;
};

export const createDemandMeter = (time: clock.Clock): DemandMeter => {
	const levels = new Map<string, Level>();
	const decayed = (level: Level): number =>
		level.tokens * 0.5 ** ((time.nowMs() - level.updatedAtMs) / halfLifeMs);
	return {
		add(model, tokens) {
			const level = levels.get(model);
			const previous = level ? decayed(level) : 0;
			levels.set(model, {tokens: previous + tokens, updatedAtMs: time.nowMs()});
		},
		read() {
			// A constant rate r settles at r * halfLife / ln 2 in the decaying sum.
			const windowSeconds = halfLifeMs / 1000 / Math.LN2;
			return Object.fromEntries(
				[...levels].map(([model, level]) => [model, decayed(level) / windowSeconds]),
			);
		},
	};
};
