import gts from 'gts';
import tseslint from 'typescript-eslint';

const edges = [
  'node:*',
  'net',
  'http',
  'fs',
  'undici',
  'h3',
  'cbor-x',
  'bunyan',
  'commander',
  'hdr-histogram-js',
  '@chervilbeam/*',
];

export default [
  {ignores: ['**/dist/**', 'target/**', 'journal/**', '**/output/**', 'node_modules/**']},
  ...gts,
  ...tseslint.configs.recommended,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: {
        project: null,
        projectService: {allowDefaultProject: []},
        tsconfigRootDir: import.meta.dirname,
      },
    },
  },
  {
    rules: {
      'n/no-unpublished-import': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-process-exit': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      '@typescript-eslint/no-unused-vars': ['error', {argsIgnorePattern: '^_'}],
      '@typescript-eslint/no-explicit-any': 'error',
      'max-lines': ['error', {max: 400}],
    },
  },
  {
    // Only the adapter knows the platform.
    files: ['packages/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              group: ['@chervilbeam/platform', '**/platform/src/**'],
              message: 'The product does not import its adapters.',
            },
          ],
        },
      ],
      'no-restricted-syntax': [
        'error',
        {
          selector: 'Literal[value=/x-chervilbeam-(duty|fencing|expected)|kv-(key|txn|range)/]',
          message: 'Names of the platform stay in platform/.',
        },
      ],
    },
  },
  {
    // Decisions never import an edge.
    files: ['packages/coordination/src/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {patterns: [{group: edges, message: 'Decisions do not import edges.'}]},
      ],
      'no-restricted-globals': [
        'error',
        'process',
        'setTimeout',
        'setInterval',
        'fetch',
        'performance',
      ],
      'no-restricted-properties': [
        'error',
        {object: 'Date', property: 'now'},
        {object: 'Math', property: 'random'},
      ],
    },
  },
];
