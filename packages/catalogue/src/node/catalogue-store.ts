/**
 * Applies an edit to the catalogue in the store. Parts are written first, then
 * the root changes by compare-and-swap, so that no reader sees half an edit. An
 * edit keeps one operation id over all its attempts, which settles a write whose
 * answer was lost.
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
// The store takes 1 MB; the rest is for characters of more than one byte.
const maxPartCharacters = 900_000;
const maxPartAttempts = 8;
const firstBackoffMs = 50;
const maxBackoffMs = 2000;

/**
 * Longest time from reading the root to replacing it. The clean-up waits longer
 * than this, so that it never removes a part that an edit is about to refer to.
 */
export const maxEditMs = 60_000;

export type EditContext = {
	store: recordStore.RecordStore;
	clock: clock.Clock;
	random: random.Random;
	/** Who makes the edit; stands in the root. */
	author: string;
	/** Unique name of this edit. */
	operationId: string;
	maxAttempts?: number;
	/** Rules between records; {@link validate.validateRecords} unless given. */
	validate?: (records: readonly schema.CatalogueRecord[]) => problem.CatalogueProblem[];
};

export type EditResult =
	/** The edit is in the catalogue of this revision. */
	| {kind: 'applied'; revision: number}
	/** All changes were already there; nothing was written. */
	| {kind: 'unchanged'; revision: number}
	| {kind: 'conflict'; revision: number; conflicts: recordEdit.RecordConflict[]}
	| {kind: 'invalid'; revision: number; problems: problem.CatalogueProblem[]};

/** The store failed too often. `mayHaveTakenEffect` tells whether the edit may be in the catalogue. */
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
 * Writes a part, or writes it again when it exists: the new revision keeps the
 * clean-up from removing a part that it found unused before.
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

	throw new Error(`${key}: other writers were always faster`);
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
type Progress = {
	/** A compare-and-swap of the root was sent and its answer was lost. */
	isUncertain: boolean;
	cache: catalogueReader.PartCache;
};

/** What to write for the changes on the current catalogue, or why nothing is written. */
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

/** One attempt; undefined when another operator was faster or the attempt took too long. */
const attemptEdit = async (
	context: EditContext,
	changes: readonly recordEdit.RecordChange[],
	progress: Progress,
): Promise<EditResult | undefined> => {
	const startMs = context.clock.nowMs();
	const current = await catalogueReader.readCatalogue(context.store, {cache: progress.cache});
	const plan = planEdit(context, changes, current);
	if (plan.kind !== 'write') {
		return plan;
	}

	const present = new Set(current.root?.parts.map((part) => part.digest));
	for (const part of plan.parts) {
		if (!present.has(part.digest)) {
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
		progress.isUncertain ||= recordStore.mayHaveTakenEffect(error);
		throw error;
	}
};

/**
 * Applies changes made against a base revision and repeats until they are
 * applied, refused or the attempts are used up. Lost races rebase the changes
 * on the newer catalogue.
 * @throws {@link EditFailedError} when the store failed in the last attempt.
 * @throws {@link catalogueReader.CatalogueDataError} when the stored catalogue is damaged.
 */
export const applyChanges = async (
	context: EditContext,
	changes: readonly recordEdit.RecordChange[],
): Promise<EditResult> => {
	const progress: Progress = {isUncertain: false, cache: new Map()};
	const maxAttempts = context.maxAttempts ?? defaultMaxAttempts;
	let lastError: unknown = new Error('other edits were always faster');
	for (let attempt = 0; attempt < maxAttempts; attempt++) {
		if (attempt > 0) {
			const limitMs = Math.min(maxBackoffMs, firstBackoffMs * 2 ** attempt);
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

	throw new EditFailedError(context.operationId, progress.isUncertain, lastError);
};
