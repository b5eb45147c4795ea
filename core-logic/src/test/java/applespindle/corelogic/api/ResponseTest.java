package applespindle.corelogic.api;

import static applespindle.corelogic.common.Json.JSON;
import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.common.Json;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;

/** Responses whose body is encoded, and their comparison with decoded ones. */
class ResponseTest {
  private static final byte[] ENCODED = "{ \"total\": 1 }".getBytes(UTF_8);

  @Test
  void forwardsAnEncodedBodyUnchanged() {
    Response response = Response.encoded(200, ENCODED, 7);
    assertThat(response.encodedBody()).isSameInstanceAs(ENCODED);
    assertThat(response.withStatus(412).withRetryAfterMs(0).encodedBody())
        .isSameInstanceAs(ENCODED);
  }

  @Test
  void encodesABodyAgainAfterAccess() {
    Response response = Response.encoded(200, ENCODED, 0);
    ((ObjectNode) response.body()).put("total", 2);
    assertThat(Json.tree(response.encodedBody()).path("total").asInt()).isEqualTo(2);
  }

  @Test
  void comparesDecodedBodies() {
    Response decoded = Response.of(200, JSON.createObjectNode().put("total", 1));
    assertThat(Response.encoded(200, ENCODED, 0)).isEqualTo(decoded);
    assertThat(Response.encoded(200, ENCODED, 0).hashCode()).isEqualTo(decoded.hashCode());
    assertThat(Response.encoded(201, ENCODED, 0)).isNotEqualTo(decoded);
    assertThat(Response.encoded(200, ENCODED, 1)).isNotEqualTo(decoded);
  }

  @Test
  void readsTheErrorTypeOfAnEncodedBody() {
    Response rejection = Response.of(new ApiError.NoConfiguration());
    Response forwarded = Response.encoded(rejection.status(), rejection.encodedBody(), 0);
    assertThat(forwarded.errorType()).isEqualTo("NoBundle");
  }
}
