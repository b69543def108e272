/** @type {import('xo').FlatXoConfig} */
const config = [
	{
		ignores: ['**/dist/**', '**/node_modules/**', 'target/**', 'journal/**'],
	},
	{
		rules: {
			// Short customary names (req, res, cfg, err) are house style.
			'unicorn/prevent-abbreviations': 'off',
			'unicorn/catch-error-name': ['error', {name: 'err'}],
			// Namespace imports are house style.
			'unicorn/import-style': 'off',
			'capitalized-comments': 'off',
			// The factories of purify-ts are named in upper case.
			'new-cap': ['error', {capIsNewExceptions: ['purify.Left', 'purify.Right', 'purify.Just']}],
		},
	},
	{
		files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
		rules: {
			// Thin index files re-export modules that may hold types only.
			'@typescript-eslint/consistent-type-exports': 'off',
		},
	},
	{
		// The test tools are declared once, in the root package.
		files: ['packages/*/tests/**/*.ts', 'platform/tests/**/*.ts'],
		rules: {
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
			// Mocha's describe and it call functions that nest by design.
			'max-nested-callbacks': 'off',
		},
	},
	{
		// Command-line scripts set their exit status.
		files: ['scripts/**/*.mjs'],
		rules: {
			'unicorn/no-process-exit': 'off',
		},
	},
];

export default config;
