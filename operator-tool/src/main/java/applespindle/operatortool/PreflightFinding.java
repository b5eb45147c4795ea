package applespindle.operatortool;

/**
 * One reason not to move traffic to a tier.
 *
 * @param where the name of a process or of a part of the tier; a process's address if its name is
 *     not known
 * @param fault what is wrong there
 */
record PreflightFinding(String where, String fault) {}
