package applespindle.corelogic.changefeed;

import static applespindle.corelogic.common.Json.JSON;
import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.changefeed.UpdateAcknowledgements.KnownEdges;
import applespindle.corelogic.constants.ChangeFeedConstants;
import applespindle.corelogic.environment.FakeEnvironment;
import applespindle.corelogic.protocol.Message.AppliedPositions;
import applespindle.corelogic.protocol.Message.KeyPosition;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class UpdateAcknowledgementsTest {
  private static final String KEY = "bundle";
  private static final int OUTCOME_UNKNOWN_STATUS =
      Response.of(new ApiError.OutcomeUnknown(KEY)).status();

  private final FakeEnvironment environment = new FakeEnvironment(1_000) {};
  private final List<Response> responses = new ArrayList<>();
  private final List<String> askedEdges = new ArrayList<>();
  private final KnownEdges edges =
      new KnownEdges(List.of("edge:1", "edge:2", "edge:3"), Map.of("edge:1", "one"));
  private boolean inContactWithMajority = true;

  private UpdateAcknowledgements acknowledgements(boolean bindsDisconnectedEdges) {
    return new UpdateAcknowledgements(
        environment,
        bindsDisconnectedEdges,
        () -> edges,
        () -> inContactWithMajority,
        askedEdges::add);
  }

  private static AppliedPositions applied(String edge) {
    return new AppliedPositions(edge, List.of(new KeyPosition(KEY, 5)));
  }

  private void await(UpdateAcknowledgements acknowledgements) {
    acknowledgements.await(KEY, 5, JSON.createObjectNode(), responses::add);
  }

  private void tickAfter(UpdateAcknowledgements acknowledgements, long millis) {
    environment.freeze(millis);
    acknowledgements.tick();
  }

  @Test
  void acknowledgesAtOnceWhenTheLastEdgeConfirms() {
    UpdateAcknowledgements acknowledgements = acknowledgements(true);
    await(acknowledgements);
    assertThat(askedEdges).containsExactly("edge:1", "edge:2", "edge:3").inOrder();
    acknowledgements.handleAppliedPositions(applied("edge:1"));
    acknowledgements.handleAppliedPositions(applied("edge:2"));
    assertThat(responses).isEmpty();
    acknowledgements.handleAppliedPositions(applied("edge:3"));
    assertThat(responses).hasSize(1);
    assertThat(responses.get(0).status()).isEqualTo(200);
    assertThat(responses.get(0).body().toString())
        .isEqualTo("{\"confirmed\":[\"one\",\"edge:2\",\"edge:3\"],\"unconfirmed\":[]}");
  }

  @Test
  void aMajorityIsEnoughAfterTheWaitForAllEdges() {
    UpdateAcknowledgements acknowledgements = acknowledgements(true);
    await(acknowledgements);
    acknowledgements.handleAppliedPositions(applied("edge:1"));
    acknowledgements.handleAppliedPositions(applied("edge:2"));
    tickAfter(acknowledgements, ChangeFeedConstants.ALL_EDGES_WAIT_MS - 1);
    assertThat(responses).isEmpty();
    tickAfter(acknowledgements, 1);
    assertThat(responses.get(0).status()).isEqualTo(200);
    assertThat(responses.get(0).body().toString())
        .isEqualTo("{\"confirmed\":[\"one\",\"edge:2\"],\"unconfirmed\":[\"edge:3\"]}");
  }

  @Test
  void withoutAMajorityTheOutcomeIsUnknownAfterTheWait() {
    UpdateAcknowledgements acknowledgements = acknowledgements(true);
    await(acknowledgements);
    acknowledgements.handleAppliedPositions(applied("edge:1"));
    tickAfter(acknowledgements, ChangeFeedConstants.ALL_EDGES_WAIT_MS);
    assertThat(responses).hasSize(1);
    assertThat(responses.get(0).status()).isEqualTo(OUTCOME_UNKNOWN_STATUS);
  }

  @Test
  void connectedEdgesAreWaitedForBrieflyWhereOthersAreNotBound() {
    UpdateAcknowledgements acknowledgements = acknowledgements(false);
    await(acknowledgements);
    tickAfter(acknowledgements, ChangeFeedConstants.CONNECTED_EDGES_WAIT_MS - 1);
    assertThat(responses).isEmpty();
    tickAfter(acknowledgements, 1);
    assertThat(responses.get(0).status()).isEqualTo(200);
  }

  @Test
  void acknowledgesNothingWithoutContactToAMajorityOfTheControlPlane() {
    UpdateAcknowledgements acknowledgements = acknowledgements(true);
    inContactWithMajority = false;
    await(acknowledgements);
    edges.listed().forEach(edge -> acknowledgements.handleAppliedPositions(applied(edge)));
    assertThat(responses).isEmpty();
    tickAfter(acknowledgements, ChangeFeedConstants.ALL_EDGES_WAIT_MS);
    assertThat(responses.get(0).status()).isEqualTo(OUTCOME_UNKNOWN_STATUS);
  }

  @Test
  void asksAllListedEdgesUntilAMajorityHasReported() {
    UpdateAcknowledgements acknowledgements = acknowledgements(true);
    acknowledgements.handleAppliedPositions(applied("edge:1"));
    acknowledgements.tick();
    assertThat(askedEdges).containsExactly("edge:1", "edge:2", "edge:3").inOrder();
    askedEdges.clear();
    acknowledgements.handleAppliedPositions(applied("edge:2"));
    acknowledgements.tick();
    assertThat(askedEdges).isEmpty();
  }
}
