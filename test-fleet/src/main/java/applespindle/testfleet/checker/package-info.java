/**
 * The rules that a history must keep, each with its time limit. It reads histories only; whoever
 * adds a rule adds a class here and lists it in {@link applespindle.testfleet.checker.Checker} or
 * {@link applespindle.testfleet.checker.ProxyChecker}.
 */
package applespindle.testfleet.checker;
