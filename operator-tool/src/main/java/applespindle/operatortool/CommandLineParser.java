package applespindle.operatortool;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Declares the commands of the operator tool with their flags, operands and help texts. */
final class CommandLineParser {
  private CommandLineParser() {}

  /** A parser whose results hold the command's name as {@code command}. */
  static ArgumentParser create() {
    ArgumentParser parser =
        ArgumentParsers.newFor("operator-tool").build().description("Drives applespindle.");
    Subparsers commands = parser.addSubparsers().dest("command").metavar("COMMAND");
    addConfigurationCommands(commands);
    addStatusCommands(commands);
    addBatchCommands(commands);
    addStorageCommands(commands);
    addFleetCommands(commands);
    return parser;
  }

  private static void addConfigurationCommands(Subparsers commands) {
    Subparser keys = commands.addParser("keys").help("make a key pair for signing");
    keys.addArgument("--out")
        .required(true)
        .metavar("FILE")
        .help("private key file; the public key goes to FILE.pub");
    Subparser check =
        commands.addParser("check-bundle").help("check a bundle offline, as the servers do");
    check.addArgument("bundle");
    Subparser sign = commands.addParser("sign").help("sign a bundle's exact bytes");
    sign.addArgument("--key").required(true);
    sign.addArgument("bundle");
    Subparser send =
        withAddress(
            commands.addParser("send-bundle").help("sign, send and wait until it is in force"),
            "--core");
    addSigningKey(send);
    send.addArgument("bundle");
    Subparser patch =
        withAddress(
            commands
                .addParser("patch-bundle")
                .help("change the bundle in force by names, sign the result and send the patch"),
            "--core");
    addSigningKey(patch);
    patch.addArgument("patch").help("file with number, upsert and remove");
    withAddress(commands.addParser("show-bundle").help("read back the bundle in force"), "--core");
  }

  private static void addSigningKey(Subparser command) {
    command.addArgument("--key").required(true);
    command.addArgument("--key-id").required(true);
  }

  private static void addStatusCommands(Subparsers commands) {
    withAddress(commands.addParser("status").help("status of one process"), "--node");
    withAddress(commands.addParser("workers").help("list the workers"), "--core");
    Subparser leaving =
        withAddress(commands.addParser("leaving").help("mark a worker as leaving"), "--core");
    leaving.addArgument("worker");
  }

  private static void addBatchCommands(Subparsers commands) {
    Subparser submit = withAddress(commands.addParser("submit").help("hand in a batch"), "--edge");
    submit.addArgument("--key").required(true).help("idempotency key");
    submit.addArgument("--sender").setDefault("operator");
    submit.addArgument("batch").help("file");
    Subparser results = withAddress(commands.addParser("results").help("read results"), "--edge");
    results.addArgument("--after").type(Long.class).setDefault(0L);
    results.addArgument("--limit").type(Integer.class).setDefault(100);
    results.addArgument("batch");
    Subparser end = withAddress(commands.addParser("end").help("end a batch early"), "--edge");
    end.addArgument("batch");
  }

  private static void addStorageCommands(Subparsers commands) {
    addStorageCommand(commands, "empty-storage", "empty a storage node");
    addStorageCommand(commands, "retire-storage", "retire a storage node");
    addStorageCommand(commands, "plan-storage", "what emptying a storage node would move where");
    withAddress(commands.addParser("storage").help("list the storage nodes"), "--core");
  }

  private static void addStorageCommand(Subparsers commands, String name, String help) {
    Subparser command = withAddress(commands.addParser(name).help(help), "--core");
    command.addArgument("storage").help("id or name");
  }

  private static void addFleetCommands(Subparsers commands) {
    Subparser preflight =
        commands
            .addParser("preflight")
            .help("whether the tier may be given traffic; names each fault");
    addNodes(preflight, "HTTP addresses of all processes");
    Subparser trace = commands.addParser("trace").help("follow one change through all nodes");
    addNodes(trace, "HTTP addresses");
    trace.addArgument("--key").required(true).help("such as bundle, worker/w1, batch/b-…");
  }

  private static void addNodes(Subparser command, String help) {
    command.addArgument("--nodes").required(true).nargs("+").metavar("ADDRESS").help(help);
  }

  /** Whatever the flag's name, its value is found as {@code address}. */
  private static Subparser withAddress(Subparser command, String flag) {
    command
        .addArgument(flag)
        .required(true)
        .metavar("ADDRESS")
        .dest("address")
        .help("HTTP address");
    return command;
  }
}
