import { userInfo } from 'node:os';

/** Returns the name under which the changes of this user are recorded. */
const getOperatorName = (): string => {
  try {
    return userInfo().username.replaceAll(/[^A-Za-z0-9._@-]/g, '_') || 'operator';
  } catch {
    // In containers the user id may have no name.
    return 'operator';
  }
};

export default getOperatorName;
