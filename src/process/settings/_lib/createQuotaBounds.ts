import type * as v from 'valibot';

import type { QuotaBounds } from '../../quotas/types.js';
import type { quotasSchema } from './sectionSchemas.js';

const PERMILLE = 1_000;
const MS_PER_SECOND = 1_000;

/** Returns the bounds that the section `quotas` states, as an optional setting. */
const createQuotaBounds = (
  section: v.InferOutput<typeof quotasSchema> | undefined,
): { quotas?: QuotaBounds } =>
  section === undefined
    ? {}
    : {
        quotas: {
          windowS: section.window_ms / MS_PER_SECOND,
          overage: section.overage_permille / PERMILLE,
          slack: section.slack,
        },
      };

export default createQuotaBounds;
