/**
 * Applies an edit to the catalogue in the store. Parts are written before the
 * root is replaced by compare-and-swap, so that no reader sees a partial edit.
 * All attempts of an edit share one operation id, which shows whether a write
 * whose response was lost took effect.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as random from '@hawthornfront/base/common/random.js';
import type * as problem from '../common/problem.js';
import * as recordEdit from '../common/record-edit.js';
import * as recordStore from '../common/record-store.js';
import * as schema from '../common/schema.js';
import * as validate from '../common/validate.js';
import * as catalogueReader from './catalogue-reader.js';
import * as partition from './partition.js';

const maxRecentOperationIds = 64;
const defaultMaxAttempts = 12;
// The store accepts values up to 1 MB; the margin allows for multi-byte characters.
const maxPartCharacters = 900_000;
const maxPartAttempts = 8;
const initialBackoffMs = 50;
const maxBackoffMs = 2000;

/**
 * Maximum time from reading the root to replacing it. The clean-up waits longer,
 * so that it never removes a part that an edit in progress is about to reference.
 */
export const maxEditMs = 60_000;

export type EditContext = {
	store: recordStore.RecordStore;
	clock: clock.Clock;
	random: random.Random;
	/** Author of the edit, recorded in the root. */
	author: string;
	/** Unique identifier of this edit. */
	operationId: string;
	maxAttempts?: number;
	/** Consistency rules; {@link validate.validateRecords} by default. */
	validate?: (records: readonly schema.CatalogueRecord[]) => problem.CatalogueProblem[];
};

export type EditResult =
	/** The catalogue of this revision contains the edit. */
	| {kind: 'applied'; revision: number}
	/** The catalogue already contained all changes; nothing was written. */
	| {kind: 'unchanged'; revision: number}
	| {kind: 'conflict'; revision: number; conflicts: recordEdit.RecordConflict[]}
	| {kind: 'invalid'; revision: number; problems: problem.CatalogueProblem[]};

/** No attempt to apply an edit succeeded. `mayHaveTakenEffect` is true when the catalogue may contain the edit. */
export class EditFailedError extends Error {
	readonly operationId: string;
	readonly mayHaveTakenEffect: boolean;

	constructor(operationId: string, mayHaveTakenEffect: boolean, cause: unknown) {
		const detail = cause instanceof Error ? cause.message : String(cause);
		const outcome = mayHaveTakenEffect ? 'may have been applied' : 'was not applied';
		super(`edit ${operationId} ${outcome}: ${detail}`, {cause});
		this.name = 'EditFailedError';
		this.operationId = operationId;
		this.mayHaveTakenEffect = mayHaveTakenEffect;
	}
}

/**
 * Writes a part, even if the part exists. The new revision prevents the clean-up
 * from removing a part that it had found unused.
 */
const writePart = async (context: EditContext, part: partition.Part): Promise<void> => {
	const key = schema.partKey(part.digest);
	let expectedRevision = 0;
	for (let attempt = 0; attempt < maxPartAttempts; attempt++) {
		const result = await context.store.compareAndSwap(key, part.text, expectedRevision);
		if (result.kind === 'written') {
			return;
		}

		expectedRevision = result.current?.revision ?? 0;
	}

	throw new Error(`${key}: every attempt lost a race with another writer`);
};

const isApplied = (root: schema.Root | undefined, operationId: string): boolean =>
	root !== undefined &&
	(root.operationId === operationId || root.recentOperationIds.includes(operationId));

const createRoot = (
	context: EditContext,
	parts: readonly partition.Part[],
	previous: schema.Root | undefined,
): schema.Root => {
	const olderIds = previous ? [previous.operationId, ...previous.recentOperationIds] : [];
	return {
		parts: parts.map((part) => ({partition: part.partition, digest: part.digest})),
		operationId: context.operationId,
		recentOperationIds: olderIds.slice(0, maxRecentOperationIds),
		author: context.author,
		acceptedAt: new Date(context.clock.wallMs()).toISOString(),
	};
};

/** State of an edit over its attempts. */
type EditProgress = {
	/** The response to a compare-and-swap of the root was lost. */
	mayHaveTakenEffect: boolean;
	cache: catalogueReader.PartCache;
};

/** Parts to write for the changes, or the result when there is nothing to write. */
const planEdit = (
	context: EditContext,
	changes: readonly recordEdit.RecordChange[],
	current: catalogueReader.StoredCatalogue,
): EditResult | {kind: 'write'; parts: partition.Part[]} => {
	const {revision} = current;
	if (isApplied(current.root, context.operationId)) {
		return {kind: 'applied', revision};
	}

	const rebased = recordEdit.rebaseChanges(changes, current.records);
	if (rebased.kind === 'conflict') {
		return {...rebased, revision};
	}

	if (rebased.remaining.length === 0) {
		return {kind: 'unchanged', revision};
	}

	const problems = (context.validate ?? validate.validateRecords)(rebased.records);
	if (problems.length > 0) {
		return {kind: 'invalid', revision, problems};
	}

	const parts = partition.splitIntoParts(rebased.records);
	const tooLarge = parts.find((part) => part.text.length > maxPartCharacters);
	if (tooLarge) {
		const record = `partition ${tooLarge.partition}`;
		const expected = `expected at most ${maxPartCharacters} characters of records in one partition`;
		return {kind: 'invalid', revision, problems: [{record, field: '', expected}]};
	}

	return {kind: 'write', parts};
};

/** Attempts an edit once; undefined when the attempt lost a race or took too long. */
const attemptEdit = async (
	context: EditContext,
	changes: readonly recordEdit.RecordChange[],
	progress: EditProgress,
): Promise<EditResult | undefined> => {
	const startMs = context.clock.nowMs();
	const current = await catalogueReader.readCatalogue(context.store, {cache: progress.cache});
	const plan = planEdit(context, changes, current);
	if (plan.kind !== 'write') {
		return plan;
	}

	const storedDigests = new Set(current.root?.parts.map((part) => part.digest));
	for (const part of plan.parts) {
		if (!storedDigests.has(part.digest)) {
			await writePart(context, part);
		}
	}

	if (context.clock.nowMs() - startMs > maxEditMs) {
		return undefined;
	}

	const text = JSON.stringify(createRoot(context, plan.parts, current.root));
	try {
		const result = await context.store.compareAndSwap(schema.rootKey, text, current.revision);
		return result.kind === 'written' ? {kind: 'applied', revision: result.revision} : undefined;
	} catch (error) {
		progress.mayHaveTakenEffect ||= recordStore.mayHaveTakenEffect(error);
		throw error;
	}
};

/**
 * Applies changes made against a base revision, with retries until they are
 * applied or rejected or the attempts are exhausted. After a lost race, the
 * changes are rebased on the newer catalogue.
 * @throws {@link EditFailedError} when all attempts are exhausted.
 * @throws {@link catalogueReader.CatalogueDataError} when the stored catalogue is damaged.
 */
export const applyChanges = async (
	context: EditContext,
	changes: readonly recordEdit.RecordChange[],
): Promise<EditResult> => {
	const progress: EditProgress = {mayHaveTakenEffect: false, cache: new Map()};
	const maxAttempts = context.maxAttempts ?? defaultMaxAttempts;
	let lastError: unknown = new Error(
		'every attempt lost a race with another edit or took too long',
	);
	for (let attempt = 0; attempt < maxAttempts; attempt++) {
		if (attempt > 0) {
			const limitMs = Math.min(maxBackoffMs, initialBackoffMs * 2 ** attempt);
			await context.clock.sleep(context.random.next() * limitMs);
		}

		try {
			const result = await attemptEdit(context, changes, progress);
			if (result) {
				return result;
			}
		} catch (error) {
			if (error instanceof catalogueReader.CatalogueDataError) {
				throw error;
			}

			lastError = error;
		}
	}

	throw new EditFailedError(context.operationId, progress.mayHaveTakenEffect, lastError);
};
