/** `apply`: writes an edit to the store and optionally waits until it is in force. */
import * as recordEdit from '@hawthornfront/catalogue/common/record-edit.js';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as catalogueReader from '@hawthornfront/catalogue/node/catalogue-reader.js';
import * as catalogueStore from '@hawthornfront/catalogue/node/catalogue-store.js';
import * as ctlError from '../../common/ctl-error.js';
import * as render from '../../common/render.js';
import * as ctlContext from '../context.js';
import * as waiting from './wait.js';

export type ApplyOptions = {
	config?: string;
	/** Catalogue file that the edit is based on. */
	base?: string;
	/** Revision that the operator ran `diff` against. */
	revision?: number;
	/** With `revision`: removes records that are not in the file. */
	prune?: boolean;
	wait?: boolean;
	waitSeconds?: number;
};

/** Requires a base or revision for changed records, to tell an edit from an outdated copy. */
const findChanges = (
	records: readonly schema.CatalogueRecord[],
	stored: catalogueReader.StoredCatalogue,
	base: readonly schema.CatalogueRecord[] | undefined,
	options: ApplyOptions,
): recordEdit.RecordChange[] => {
	if (base) {
		return recordEdit.diffRecords(base, records);
	}

	const changes = recordEdit
		.diffRecords(stored.records, records)
		.filter((change) => change.after !== undefined || options.prune);
	if (options.revision !== undefined) {
		if (Number(options.revision) !== stored.revision) {
			const message = `the catalogue is at revision ${stored.revision}, not ${options.revision}; run diff again`;
			throw new ctlError.CtlError(ctlError.exitCodes.conflict, message);
		}

		return changes;
	}

	const changed = changes.find((change) => change.before !== undefined);
	if (changed) {
		const message = `${changed.id} is in the store with other content; expected --base FILE or --revision NUMBER to tell what you started from`;
		throw new ctlError.CtlError(ctlError.exitCodes.conflict, message);
	}

	return changes;
};

const reportResult = (
	context: ctlContext.CtlContext,
	file: string,
	result: catalogueStore.EditResult,
): number => {
	switch (result.kind) {
		case 'applied': {
			context.print(`applied, revision ${result.revision}`);
			return result.revision;
		}

		case 'unchanged': {
			context.print(`nothing to change, revision ${result.revision}`);
			return result.revision;
		}

		case 'invalid': {
			ctlContext.refuseProblems(context, `${file} on revision ${result.revision}`, result.problems);
			return result.revision;
		}

		case 'conflict': {
			for (const line of render.conflictLines(result.conflicts)) {
				context.printError(line);
			}

			const message = `not applied: ${result.conflicts.length} records were changed differently by another operator, revision ${result.revision}`;
			throw new ctlError.CtlError(ctlError.exitCodes.conflict, message);
		}
	}
};

/** Applies a file. */
export const apply = async (
	context: ctlContext.CtlContext,
	file: string,
	options: ApplyOptions,
): Promise<void> => {
	const settings = ctlContext.readSettings(options);
	const records = ctlContext.readCatalogueFile(context, file);
	const base =
		options.base === undefined
			? undefined
			: ctlContext.readCatalogueFile(context, String(options.base));
	const store = context.openStore(settings.platform.store);
	const stored = await catalogueReader.readCatalogue(store);
	const changes = findChanges(records, stored, base, options);
	for (const change of changes) {
		for (const line of render.changeLines(change)) {
			context.print(line);
		}
	}

	const result = await catalogueStore.applyChanges(
		{
			store,
			clock: context.clock,
			random: context.random,
			author: settings.operator.name,
			operationId: context.createOperationId(),
		},
		changes,
	);
	const revision = reportResult(context, file, result);
	if (options.wait) {
		await waiting.waitUntilInForce(context, settings.entries, revision, options.waitSeconds);
	}
};
