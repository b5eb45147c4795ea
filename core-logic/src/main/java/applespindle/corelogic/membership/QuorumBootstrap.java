package applespindle.corelogic.membership;

import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.metadata.QuorumMember;
import applespindle.corelogic.metadata.QuorumMembership;
import applespindle.corelogic.node.NodeIdentity;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Forms the initial membership where the first members are not configured.
 *
 * <p>Transitions: the first seed proposes members among the uninitialized voters that it is in
 * contact with. The proposal reaches the other nodes by heartbeat. Each proposed member accepts it
 * on its disk. Any node that sees that all proposed members have accepted the proposal forms the
 * membership.
 *
 * <p>This class owns the proposal that this node makes or relays; {@link BootstrapAcceptance} owns
 * the durable state, {@link BootstrapProposer} the choice of members.
 *
 * <p>Invariants: a node accepts one proposal ever, and a membership needs the acceptance of all of
 * its members. So two initial memberships with a member in common can't both be formed. A node
 * accepts only if its disk was in use at the fleet's first start, so a disk that was emptied later
 * takes no part.
 */
public final class QuorumBootstrap {
  private static final String LOG_PART = "core";

  private final Environment environment;
  private final NodeIdentity identity;
  private final NodeSettings settings;
  private final QuorumMember self;
  private final Map<String, QuorumPeer> peers;
  private final Predicate<QuorumPeer> alive;
  private final Consumer<QuorumMembership> whenFormed;
  private final BootstrapAcceptance acceptance;
  private final BootstrapProposer proposer;

  /** What this node proposes or relays; null until there is one, and never replaced then. */
  private QuorumMembership proposal;

  /**
   * Creates the bootstrap of one node.
   *
   * @param self this node as it would be listed in a membership
   * @param peers the peers by peer address; proposed members are added to it
   * @param alive whether a peer's heartbeats are received
   * @param whenFormed receives the initial membership; called at each tick until it stops them
   */
  public QuorumBootstrap(
      Environment environment,
      NodeIdentity identity,
      NodeSettings settings,
      QuorumMember self,
      Map<String, QuorumPeer> peers,
      Predicate<QuorumPeer> alive,
      Consumer<QuorumMembership> whenFormed) {
    this.environment = environment;
    this.identity = identity;
    this.settings = settings;
    this.self = self;
    this.peers = peers;
    this.alive = alive;
    this.whenFormed = whenFormed;
    this.acceptance = new BootstrapAcceptance(environment, settings.bootstrap());
    this.proposer = new BootstrapProposer(environment, settings, self, peers, alive);
  }

  /** Whether the log record belongs to the bootstrap; the membership in use has its own. */
  public static boolean owns(LogRecord record) {
    return BootstrapAcceptance.isBootstrapRecord(record);
  }

  /** Restores the state of a record that this class {@link #owns}. */
  public void recover(LogRecord record) {
    acceptance.recover(record);
    proposal = acceptance.accepted();
  }

  /** Writes to a voter's disk that it was in use at the fleet's first start, if it was. */
  public void start() {
    if (mayBootstrap() && settings.voter()) {
      acceptance.writeFirstStart();
    }
  }

  /** The records that a checkpoint keeps while no membership is known. */
  public List<LogRecord> records() {
    return acceptance.records();
  }

  /** Whether this node is part of the fleet's first start, now or when its disk was first used. */
  boolean mayBootstrap() {
    return acceptance.isFirstStart();
  }

  /** Whether this node is the only one that may make a proposal: the first seed. */
  public boolean isCoordinator() {
    return mayBootstrap()
        && !identity.seeds().isEmpty()
        && identity.seeds().get(0).equals(identity.peerAddress());
  }

  /** The proposal that this node makes or relays; null if there is none. */
  QuorumMembership proposal() {
    return proposal;
  }

  /** Whether this node has durably accepted a proposal. */
  boolean hasAccepted() {
    return acceptance.accepted() != null;
  }

  /** Makes, relays, accepts or completes a proposal; to be called while no membership is known. */
  public void tick() {
    if (proposal == null) {
      proposal = findProposal().orElse(null);
    }
    if (proposal == null) {
      return;
    }
    addProposedMembersAsPeers();
    acceptProposal();
    if (proposal.members().stream().allMatch(this::hasAccepted)) {
      environment.log(
          LOG_PART, "Membership 1 formed of " + proposal.members().size() + " members.");
      whenFormed.accept(proposal);
    }
  }

  /** The coordinator takes over any proposal, since it may have made it; others only their own. */
  private Optional<QuorumMembership> findProposal() {
    if (!isCoordinator()) {
      return firstProposalOfPeers(this::includesThisNode);
    }
    Optional<QuorumMembership> known = firstProposalOfPeers(any -> true);
    return known.isPresent() ? known : proposer.propose();
  }

  private Optional<QuorumMembership> firstProposalOfPeers(Predicate<QuorumMembership> condition) {
    return peers.values().stream()
        .filter(peer -> alive.test(peer) && peer.proposal() != null)
        .map(QuorumPeer::proposal)
        .filter(condition)
        .findFirst();
  }

  private boolean includesThisNode(QuorumMembership membership) {
    return membership.members().contains(self);
  }

  private void addProposedMembersAsPeers() {
    proposal.members().stream()
        .filter(member -> !member.id().equals(identity.id()))
        .forEach(member -> peers.computeIfAbsent(member.peerAddress(), unseen -> new QuorumPeer()));
  }

  private void acceptProposal() {
    if (mayBootstrap() && settings.voter() && includesThisNode(proposal)) {
      acceptance.accept(proposal);
    }
  }

  private boolean hasAccepted(QuorumMember member) {
    if (member.id().equals(identity.id())) {
      return proposal.equals(acceptance.accepted());
    }
    QuorumPeer peer = peers.get(member.peerAddress());
    return peer != null
        && alive.test(peer)
        && member.equals(peer.member())
        && peer.hasAccepted()
        && proposal.equals(peer.proposal());
  }
}
