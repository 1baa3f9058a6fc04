/** `validate`, `show` and `diff`. */
import * as catalogueFile from '@hawthornfront/catalogue/common/catalogue-file.js';
import * as recordEdit from '@hawthornfront/catalogue/common/record-edit.js';
import * as validate from '@hawthornfront/catalogue/common/validate.js';
import * as ctlError from '../../common/ctl-error.js';
import * as render from '../../common/render.js';
import * as ctlContext from '../context.js';

/** Checks a file without a store. */
export const validateFile = (context: ctlContext.CtlContext, file: string): void => {
	const records = ctlContext.readCatalogueFile(context, file);
	ctlContext.refuseProblems(context, file, validate.validateRecords(records));
	context.print(`${file}: ${records.length} records are valid`);
};

const kinds = new Set(['entry', 'team', 'upstream']);

/** Prints records of the store as a catalogue file; the revision goes to standard error. */
export const show = async (
	context: ctlContext.CtlContext,
	kind: string | undefined,
	name: string | undefined,
	options: {config?: string},
): Promise<void> => {
	if (kind !== undefined && !kinds.has(kind)) {
		const message = `kind "${kind}": expected entry, team or upstream`;
		throw new ctlError.CtlError(ctlError.exitCodes.usage, message);
	}

	const {revision, root, records} = await ctlContext.readStoredCatalogue(context, options);
	const wanted = records.filter(
		(record) =>
			(kind === undefined || record.kind === kind) && (name === undefined || record.name === name),
	);
	if (name !== undefined && wanted.length === 0) {
		const message = `${kind}/${name} is not in the catalogue of revision ${revision}`;
		throw new ctlError.CtlError(ctlError.exitCodes.usage, message);
	}

	context.print(catalogueFile.formatCatalogue(wanted).trimEnd());
	const by = root ? `, accepted ${root.acceptedAt}, by ${root.author}` : '';
	context.printError(`revision ${revision}${by}`);
};

/** Compares a file with the store. Exit code 1 means that they differ. */
export const diff = async (
	context: ctlContext.CtlContext,
	file: string,
	options: {config?: string; prune?: boolean},
): Promise<void> => {
	const records = ctlContext.readCatalogueFile(context, file);
	const stored = await ctlContext.readStoredCatalogue(context, options);
	const changes = recordEdit
		.diffRecords(stored.records, records)
		.filter((change) => change.after !== undefined || options.prune);
	for (const change of changes) {
		for (const line of render.changeLines(change)) {
			context.print(line);
		}
	}

	if (changes.length > 0) {
		const message = `${changes.length} records differ from revision ${stored.revision}`;
		throw new ctlError.CtlError(ctlError.exitCodes.different, message);
	}

	context.print(`no difference from revision ${stored.revision}`);
};
